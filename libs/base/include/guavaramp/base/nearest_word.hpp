#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace guavaramp {

/// Returns the smallest number of edits (insertion, deletion, substitution, transposition of adjacent
/// characters) that turn `left` into `right`: the optimal string alignment distance (Damerau 1964). Time and
/// memory grow with the product of the two lengths. Thread-safe.
[[nodiscard]] std::size_t edit_distance(std::string_view left, std::string_view right);

/// Returns the candidate with the smallest edit distance to `word`, or nothing if `word` is not a likely
/// typing mistake for any candidate. A likely mistake differs by at most a third of the longer word's length;
/// one edit is always accepted. Of equally close candidates the first is returned. Thread-safe.
[[nodiscard]] std::optional<std::string> nearest_word(std::string_view word,
                                                      std::span<const std::string> candidates);

/// Returns the hint "; did you mean 'X'?" for the nearest candidate X, to be appended to an error message, or
/// an empty text if there is none. Thread-safe.
[[nodiscard]] std::string nearest_word_hint(std::string_view word, std::span<const std::string> candidates);

}  // namespace guavaramp
