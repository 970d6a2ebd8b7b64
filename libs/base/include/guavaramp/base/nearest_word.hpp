#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace guavaramp {

/// Edits (insertion, deletion, substitution, transposition of neighbours) that turn `left` into `right`
/// (optimal string alignment distance, Damerau 1964). Cost: length of left times length of right.
/// Thread-safe.
[[nodiscard]] std::size_t edit_distance(std::string_view left, std::string_view right);

/// The candidate closest to `word`, or nothing when none is close enough to be a likely typing mistake (at
/// most a third of the longer word, at least one edit). Ties go to the first candidate. Thread-safe.
[[nodiscard]] std::optional<std::string> nearest_word(std::string_view word,
                                                      std::span<const std::string> candidates);

/// "; did you mean 'X'?" or an empty text. Thread-safe.
[[nodiscard]] std::string nearest_word_hint(std::string_view word, std::span<const std::string> candidates);

}  // namespace guavaramp
