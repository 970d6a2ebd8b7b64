# Compiler and linker flags that all targets of the workspace share.
add_library(guavaramp_flags INTERFACE)
target_compile_options(guavaramp_flags INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Werror
  -Wno-missing-field-initializers) # designated initialisers may omit fields that keep their defaults
target_compile_definitions(guavaramp_flags INTERFACE SPDLOG_FMT_EXTERNAL GUAVARAMP_VERSION="${PROJECT_VERSION}")
target_link_libraries(guavaramp_flags INTERFACE Threads::Threads)
if(GUAVARAMP_EXPERIMENTS)
  target_compile_definitions(guavaramp_flags INTERFACE GUAVARAMP_EXPERIMENTS)
endif()
if(GUAVARAMP_SANITIZE)
  target_compile_options(guavaramp_flags INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all)
  target_link_options(guavaramp_flags INTERFACE -fsanitize=address,undefined)
endif()

# guavaramp_add_library(NAME [DEPS name...] [LINK library...])
# Builds the library libs/NAME from the .cpp files in src and its folders, or a header-only library if there are no such files, and one
# doctest program from tests/*_test.cpp. DEPS lists libraries of the workspace and LINK lists system libraries
# to link.
function(guavaramp_add_library name)
  cmake_parse_arguments(ARG "" "" "DEPS;LINK" ${ARGN})
  list(TRANSFORM ARG_DEPS PREPEND guavaramp_)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  if(sources)
    add_library(guavaramp_${name} STATIC ${sources})
    target_include_directories(guavaramp_${name} PUBLIC include)
    target_link_libraries(guavaramp_${name} PUBLIC guavaramp_flags ${ARG_DEPS} ${ARG_LINK})
  else()
    add_library(guavaramp_${name} INTERFACE)
    target_include_directories(guavaramp_${name} INTERFACE include)
    target_link_libraries(guavaramp_${name} INTERFACE guavaramp_flags ${ARG_DEPS} ${ARG_LINK})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cpp)
  if(tests AND GUAVARAMP_TESTS)
    add_executable(${name}_tests ${tests} ${CMAKE_SOURCE_DIR}/cmake/doctest_main.cpp)
    target_include_directories(${name}_tests PRIVATE src ${CMAKE_SOURCE_DIR}/cmake)
    target_link_libraries(${name}_tests PRIVATE guavaramp_${name} rapidcheck)
    add_test(NAME ${name} COMMAND ${name}_tests)
    # The fixed rapidcheck seed makes the result of the tests reproducible.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 verbose_progress=0")
  endif()
endfunction()

# guavaramp_add_app(NAME [DEPS name...] [LINK library...])
# Builds the program guavaramp-NAME from the *.cpp files of the calling directory (apps/*) into bin/ of the
# build directory. DEPS and LINK are as in guavaramp_add_library.
function(guavaramp_add_app name)
  cmake_parse_arguments(ARG "" "" "DEPS;LINK" ${ARGN})
  list(TRANSFORM ARG_DEPS PREPEND guavaramp_)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(guavaramp-${name} ${sources})
  target_link_libraries(guavaramp-${name} PRIVATE guavaramp_flags ${ARG_DEPS} ${ARG_LINK})
  set_target_properties(guavaramp-${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
