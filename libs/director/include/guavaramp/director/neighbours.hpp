#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavaramp {

/// A director that starts while the store is away, or turns it away, knows neither configuration nor
/// upstreams and cannot prove to others who it is. The routers may send it packets all the same, when too few
/// directors of its failure domain are ready. It then hands them to a neighbour, another director whose
/// administrative address is in the settings, as if the routers had sent them there.

/// How long a director waits for the store before it looks for a neighbour. A start takes up to 350 ms with a
/// large configuration and a slow link; when a whole fleet starts, nobody needs to ask. Packets wait longer.
inline constexpr auto neighbour_patience = std::chrono::milliseconds{500};
/// Period of asking the neighbours while one of them serves.
inline constexpr auto neighbour_period = std::chrono::milliseconds{300};
/// Longest period while none does: three directors are asked by the whole fleet when the store is away for
/// all, at the design size 590 times a second each.
inline constexpr auto longest_neighbour_period = std::chrono::milliseconds{900};
/// How long a neighbour may take to answer: fifty round trips between failure domains.
inline constexpr auto neighbour_timeout = std::chrono::milliseconds{250};
/// How long an answer stands: a lost one does not end it.
inline constexpr auto neighbour_validity = std::chrono::milliseconds{800};

/// Directors that a neighbour names, and that are asked. The settings name three at most, in different
/// failure domains; with these a restart of the only one in the own domain leaves others.
inline constexpr std::size_t most_neighbours = 8;

/// What a director that can serve says of itself.
struct neighbour_answer {
    endpoint packets;  ///< takes callers' packets
    std::string failure_domain;
    std::vector<endpoint> others;  ///< `admin` addresses of further directors of its failure domain

    friend bool operator==(const neighbour_answer&, const neighbour_answer&) = default;
};

/// JSON form. Thread-safe.
[[nodiscard]] std::string encode_neighbour_answer(const neighbour_answer& answer);

/// Inverse of `encode_neighbour_answer`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<neighbour_answer> decode_neighbour_answer(std::string_view text);

/// A neighbour that has answered.
struct known_neighbour {
    neighbour_answer answer;
    mono_time answered_at{};
};

/// When to ask again after a wait of `waited`: sooner while a neighbour has been found. Thread-safe.
[[nodiscard]] std::chrono::milliseconds next_neighbour_wait(std::chrono::milliseconds waited,
                                                            bool found) noexcept;

/// The neighbour that takes this director's packets: one of the own failure domain if there is one, which a
/// partition between failure domains does not cut off; the first among several, so that all packets of a
/// flow take one way. Nothing when none has answered lately. Thread-safe.
[[nodiscard]] std::optional<endpoint> choose_neighbour(std::span<const known_neighbour> neighbours,
                                                       std::string_view own_failure_domain, mono_time now);

}  // namespace guavaramp
