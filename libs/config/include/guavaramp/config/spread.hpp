#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/config/delta.hpp>
#include <guavaramp/membership/member.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace guavaramp {

struct spread_options {
    std::size_t watchers_per_domain{2};
    /// A starting daemon hears its peers within this time; it asks the platform and watches only afterwards.
    std::chrono::milliseconds settle_time{1000};
    std::chrono::milliseconds shortest_retry{100};
    std::chrono::milliseconds longest_retry{2000};
};

/// How one daemon learns and passes on configurations. Plain data: only `apply` changes it, one thread owns
/// it.
struct spread_state {
    spread_options options;
    ip_address self;
    std::string failure_domain;
    configuration current;  ///< revision 0: none yet
    mono_time started_at;
    member_list members;
    std::map<ip_address, config_revision> ahead;  ///< peers that reported a later revision than `current`
    std::optional<ip_address> pulling_from;
    config_revision pulling_since{0};
    bool pull_everything{false};  ///< the last delta did not fit; the next pull starts at revision 0
    bool loading{false};
    bool load_wanted{false};
    bool watching{false};               ///< a watch call is waiting
    std::uint64_t watched_revision{0};  ///< of the head key in the store
    std::uint32_t failures{0};
    mono_time next_pull;
    std::uint32_t platform_failures{0};
    mono_time next_platform_call;
    config_revision regressed_to{0};  ///< last reported earlier revision of the store; 0: none
};

/// Events.
struct spread_tick {};
struct members_changed {
    member_list members;
};
/// A peer reported its revision, by a ping, an answer or a push.
struct revision_heard {
    ip_address from;
    config_revision revision;
};
struct pull_finished {
    ip_address from;
    result<config_delta> delta;
};
/// A load from the platform ended; nothing when no configuration is stored.
struct load_finished {
    result<std::optional<configuration>> loaded;
};
/// A watch ended: the head's revision in the store, or nothing when it did not change in time.
struct watch_finished {
    result<std::optional<std::uint64_t>> store_revision;
};
/// A configuration that was accepted through this daemon.
struct change_accepted {
    configuration accepted;
};
/// The platform shall be asked now.
struct refresh_requested {};
/// Peers shall be asked now, because this process was paused.
struct spread_resumed {};
using spread_event = std::variant<spread_tick, members_changed, revision_heard, pull_finished, load_finished,
                                  watch_finished, change_accepted, refresh_requested, spread_resumed>;

/// Effects.
struct start_pull {
    ip_address from;
    config_revision since;
};
struct start_watch {
    std::uint64_t after{0};  ///< revision of the head key in the store
};
struct spread_effects {
    bool applied{false};  ///< `current` changed: publish it and push its revision
    std::optional<start_pull> pull;
    bool load{false};  ///< load head and services from the platform
    std::optional<start_watch> watch;
    std::optional<config_revision> store_regressed;  ///< the store returned to this earlier revision
};

/// A state without a configuration.
[[nodiscard]] spread_state make_spread(const ip_address& self, std::string failure_domain,
                                       const spread_options& options, mono_time now);

/// Advances the state. Deterministic in its arguments. `current` never goes back to an earlier revision.
[[nodiscard]] spread_effects apply(spread_state& state, const spread_event& event, mono_time now,
                                   std::mt19937_64& random);

/// Whether this daemon is one of its failure domain's live members that watch the head: the first ones in
/// rendezvous order, so that another takes over when one stops responding.
[[nodiscard]] bool is_watcher(const spread_state& state);

}  // namespace guavaramp
