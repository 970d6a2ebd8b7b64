#include <guavaramp/base/error.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

constexpr std::array<error_representation, 13> representations{{
    {error_kind::invalid_argument, "invalid_argument", 400, 2},
    {error_kind::malformed, "malformed", 400, 2},
    {error_kind::not_found, "not_found", 404, 3},
    {error_kind::conflict, "conflict", 409, 4},
    {error_kind::refused, "refused", 422, 5},
    {error_kind::unauthenticated, "unauthenticated", 401, 6},
    {error_kind::replayed, "replayed", 401, 6},
    {error_kind::overloaded, "overloaded", 503, 7},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504, 8},
    {error_kind::cancelled, "cancelled", 499, 8},
    {error_kind::unavailable, "unavailable", 503, 9},
    {error_kind::outcome_unknown, "outcome_unknown", 502, 10},
    {error_kind::internal, "internal", 500, 70},
}};

}  // namespace

const error_representation& representation_of(error_kind kind) noexcept {
    const auto* found = std::find_if(representations.begin(), representations.end(),
                                     [kind](const error_representation& row) { return row.kind == kind; });
    return found == representations.end() ? representations.back() : *found;
}

error_kind error_kind_from_name(std::string_view name) noexcept {
    const auto* found = std::find_if(representations.begin(), representations.end(),
                                     [name](const error_representation& row) { return row.name == name; });
    return found == representations.end() ? error_kind::internal : found->kind;
}

}  // namespace guavaramp
