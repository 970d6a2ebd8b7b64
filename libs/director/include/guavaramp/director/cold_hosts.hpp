#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/director/peers.hpp>
#include <guavaramp/director/routes.hpp>
#include <guavaramp/director/upstreams.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// Limits of the opening packets to hosts that have just started. A cold host of a service that states a rate
/// may get `rate` x `over` + `slack` of them in any second, from all directors together. Directors cannot
/// agree within a second, so cold hosts get none while their service has a warm host; when it has none, one
/// director of the host's failure domain sends some.

/// Factors of the bound, from the settings.
struct cold_limits {
    double over{1};   ///< multiplies the service's rate
    double slack{0};  ///< opening packets that are always allowed

    friend bool operator==(const cold_limits&, const cold_limits&) = default;
};

/// Time over which a director counts its opening packets to a cold host: the second of the bound, and 100 ms
/// because the packets' delays differ.
inline constexpr auto cold_window = std::chrono::milliseconds{1100};
/// Time for which the members must have been the same before a director sends to cold hosts: 10 s until the
/// others have read the readers' entries again, and 2 s for the age of a cached answer and for the window of
/// a director that ranked first before, or of this director before its restart. Without it three directors
/// could rank first within one second while a fleet starts.
inline constexpr auto cold_members_settling_time = std::chrono::milliseconds{12000};

/// Returns the limit of each service that states a rate; nothing if `limits` are not stated. Each director
/// gets half of the bound, because two directors may both rank first while their members differ. Thread-safe.
[[nodiscard]] cold_rules make_cold_rules(const route_table& routes, const std::optional<cold_limits>& limits);

/// What a director needs to know to send opening packets to cold hosts. Not thread-safe.
struct cold_host_state {
    std::uint64_t self{0};               ///< hash of this director's address
    std::vector<std::uint64_t> members;  ///< hashes of the other directors' addresses
    /// Time from which this director may send; `mono_time::max()` while the members are not known.
    mono_time may_send_from{mono_time::max()};
    /// Times of the opening packets within the window, by the host's tag.
    std::unordered_map<std::uint32_t, std::deque<mono_time>> openings;
    std::uint64_t openings_total{0};  ///< since the start, for the counter
};

/// Records the members of this director's failure domain. `known` tells whether a reader of the store names
/// this director: otherwise every director of a fleet that starts would know only itself and rank first. Not
/// thread-safe.
void record_cold_members(cold_host_state& state, const endpoint& self, std::span<const director_peer> others,
                         bool known, mono_time now);

/// Returns whether this director may send an opening packet to the cold host with `tag` now: its members are
/// known, it ranks first among them for this host, and it has sent fewer than `limit` within the window. Not
/// thread-safe.
[[nodiscard]] bool may_open_cold_host(const cold_host_state& state, steering_tag tag, std::uint32_t limit,
                                      mono_time now);

/// Returns the cold host of `service` in `failure_domain` that this director may send an opening packet to
/// and has sent the fewest to, or null if there is none. `excluded` is not chosen. Not thread-safe.
[[nodiscard]] const known_upstream* choose_cold_host(const cold_host_state& state,
                                                     const upstream_index& index, const std::string& service,
                                                     const std::string& failure_domain, steering_tag excluded,
                                                     mono_time now);

/// Records an opening packet to `target`, if that is a cold host of a limited service. Returns whether it is.
/// Not thread-safe.
bool record_cold_opening(cold_host_state& state, const upstream_index& index, const known_upstream& target,
                         mono_time now);

}  // namespace guavaramp
