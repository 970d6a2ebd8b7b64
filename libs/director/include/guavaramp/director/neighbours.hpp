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

/// A director that starts while the store is unavailable or rejects its calls knows neither the configuration
/// nor the upstreams and cannot authenticate itself to other directors. The routers may send it packets all
/// the same when too few directors of its failure domain are ready. It then passes them on to a neighbour:
/// another director, whose administrative address is in the settings, which handles them as if the routers
/// had sent them there.

/// How long a starting director waits for the store before it looks for a neighbour. A start takes up to 350
/// ms with a large configuration and a slow link, so that no director has to ask when a whole fleet starts.
/// Packets are held for longer than this.
inline constexpr auto neighbour_search_delay = std::chrono::milliseconds{500};
/// Period of polling the neighbours while one of them can take packets.
inline constexpr auto neighbour_poll_period = std::chrono::milliseconds{300};
/// Longest period of polling them while none can. When the store is unavailable for all, the whole fleet
/// polls three directors, at the design size 590 times a second each.
inline constexpr auto max_neighbour_poll_period = std::chrono::milliseconds{900};
/// How long a neighbour may take to answer: fifty round trips between failure domains.
inline constexpr auto neighbour_timeout = std::chrono::milliseconds{250};
/// How long an answer is valid: it outlasts the loss of the next one.
inline constexpr auto neighbour_answer_validity = std::chrono::milliseconds{800};

/// Limit of the directors that one answer names, and of those that are polled. The settings name at most
/// three, in different failure domains; the answers name more, so that others of the own failure domain are
/// left when the only one in the settings restarts.
inline constexpr std::size_t max_neighbours = 8;

/// The answer of a director that can take packets.
struct neighbour_answer {
    endpoint packet_address;  ///< takes callers' packets
    std::string failure_domain;
    std::vector<endpoint> domain_admin_addresses;  ///< of further directors of its failure domain

    friend bool operator==(const neighbour_answer&, const neighbour_answer&) = default;
};

/// Returns the JSON form of `answer`. Thread-safe.
[[nodiscard]] std::string encode_neighbour_answer(const neighbour_answer& answer);

/// Returns the answer whose JSON form is `text`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<neighbour_answer> decode_neighbour_answer(std::string_view text);

/// A polled neighbour and its latest answer.
struct known_neighbour {
    neighbour_answer answer;
    mono_time answered_at{};  ///< the epoch if it has not answered
};

/// Returns the wait before the next poll, after one of `waited`: `neighbour_poll_period` if a neighbour was
/// `found`, else twice the last wait up to `max_neighbour_poll_period`. Thread-safe.
[[nodiscard]] std::chrono::milliseconds next_neighbour_poll_wait(std::chrono::milliseconds waited,
                                                                 bool found) noexcept;

/// Returns the neighbour that takes this director's packets: one of the own failure domain if there is one,
/// because a partition between failure domains does not cut it off, and the first among several, so that all
/// packets of a flow take the same path. Returns `std::nullopt` if no neighbour has a valid answer.
/// Thread-safe.
[[nodiscard]] std::optional<endpoint> choose_neighbour(std::span<const known_neighbour> neighbours,
                                                       std::string_view own_failure_domain, mono_time now);

}  // namespace guavaramp
