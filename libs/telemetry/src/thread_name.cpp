#include <guavaramp/telemetry/thread_name.hpp>

#include <pthread.h>

namespace guavaramp {

void name_thread(const char* name) noexcept { pthread_setname_np(pthread_self(), name); }

}  // namespace guavaramp
