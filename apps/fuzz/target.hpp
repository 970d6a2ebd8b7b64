#pragma once

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace guavaramp {

/// A decoder at the border of a process. `run` gets hostile bytes; it must return, and sanitizers report
/// misuse of memory. It aborts when an invariant of the decoder is broken.
struct fuzz_target {
    std::string name;
    std::vector<std::string> seeds;  ///< valid inputs, from which mutations start
    std::function<void(std::span<const std::byte>)> run;
};

/// Aborts with the text of `invariant` unless it `held`. Thread-safe.
void require(bool held, const char* invariant);

/// Returns `bytes` as text. Thread-safe.
[[nodiscard]] std::string as_text(std::span<const std::byte> bytes);

/// All decoders of the project. Thread-safe.
[[nodiscard]] std::vector<fuzz_target> all_fuzz_targets();

}  // namespace guavaramp
