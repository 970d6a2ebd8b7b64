#include <guavaramp/base/nearest_word.hpp>

#include <algorithm>
#include <vector>

namespace guavaramp {
namespace {

// Longer words cannot be names or keywords. The limit bounds the time for hostile input, since a comparison
// takes time quadratic in the length.
constexpr std::size_t max_compared_word_length = 128;

}  // namespace

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::vector<std::size_t>> cost(left.size() + 1, std::vector<std::size_t>(right.size() + 1));
    for (std::size_t row = 0; row <= left.size(); ++row) {
        cost[row][0] = row;
    }
    for (std::size_t column = 0; column <= right.size(); ++column) {
        cost[0][column] = column;
    }
    for (std::size_t row = 1; row <= left.size(); ++row) {
        for (std::size_t column = 1; column <= right.size(); ++column) {
            const std::size_t substitution = left[row - 1] == right[column - 1] ? 0 : 1;
            cost[row][column] = std::min({cost[row - 1][column] + 1, cost[row][column - 1] + 1,
                                          cost[row - 1][column - 1] + substitution});
            const bool is_transposition = row > 1 && column > 1 && left[row - 1] == right[column - 2] &&
                                          left[row - 2] == right[column - 1];
            if (is_transposition) {
                cost[row][column] = std::min(cost[row][column], cost[row - 2][column - 2] + 1);
            }
        }
    }
    return cost[left.size()][right.size()];
}

std::optional<std::string> nearest_word(std::string_view word, std::span<const std::string> candidates) {
    if (word.size() > max_compared_word_length) {
        return std::nullopt;
    }
    std::optional<std::string> nearest;
    std::size_t nearest_distance = 0;
    for (const auto& candidate : candidates) {
        const std::size_t max_distance =
            std::max<std::size_t>(1, std::max(word.size(), candidate.size()) / 3);
        const std::size_t distance = edit_distance(word, candidate);
        if (distance <= max_distance && (!nearest || distance < nearest_distance)) {
            nearest = candidate;
            nearest_distance = distance;
        }
    }
    return nearest;
}

std::string nearest_word_hint(std::string_view word, std::span<const std::string> candidates) {
    const auto nearest = nearest_word(word, candidates);
    return nearest ? "; did you mean '" + *nearest + "'?" : "";
}

}  // namespace guavaramp
