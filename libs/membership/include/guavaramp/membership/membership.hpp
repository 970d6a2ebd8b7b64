#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/membership/control_message.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace guavaramp {

/// Times of failure detection. A crash is noticed by the next ping to the member, declared
/// `suspect_after` + `dead_after` later and spread at once; with a domain of 3 members the next ping comes
/// within 1.5 s, so that all know within 3 s.
struct membership_options {
    std::chrono::milliseconds ping_period{500};
    /// While a member is suspected: when a failure domain is cut off, many members fail at once, and each has
    /// to be asked before it is declared dead.
    std::chrono::milliseconds alarmed_ping_period{200};
    std::chrono::milliseconds indirect_after{200};     ///< an unanswered ping is also sent through others
    std::chrono::milliseconds suspect_after{500};      ///< counted from the ping
    std::chrono::milliseconds dead_after{1000};        ///< counted from the suspicion
    std::chrono::milliseconds candidate_period{1000};  ///< pings to listed members that do not answer
    std::chrono::milliseconds late_tick{1000};         ///< a later tick means that the process was paused
    std::chrono::milliseconds forget_after{60'000};    ///< dead members that are not listed
    std::size_t indirect_peers{3};
};

/// State of one daemon's failure detection (SWIM, Das et al., 2002, with the suspicion and the sync of
/// restarted members). Plain data: only `apply` changes it, one thread owns it.
struct membership_state {
    struct peer {
        member known;
        bool listed{false};                ///< in the platform's VM list, or a seed
        mono_time changed_at;              ///< of the state
        std::optional<mono_time> dead_at;  ///< when a suspicion becomes a declaration
        std::uint32_t sends_left{0};       ///< how often the record is still piggybacked
        bool urgent{false};                ///< goes out with the next push
        mono_time confirm_after;           ///< next confirmation ping
        mono_time dispute_after;           ///< next ping because others hold it for alive
    };
    struct pending_ping {
        ip_address target;
        mono_time sent_at;
        bool indirect_sent{false};
        bool candidate{false};  ///< no suspicion follows: the target counts as dead already
        std::optional<ip_address> requested_by;
        std::uint64_t requester_number{0};
    };

    membership_options options;
    member self;
    std::map<ip_address, peer> peers;
    std::map<std::uint64_t, pending_ping> pending;
    std::uint64_t next_number{1};
    std::uint64_t ping_count{0};
    std::uint64_t order_seed{0};
    std::map<int, std::uint64_t> cursors;  ///< position in the ping order, by group of peers
    mono_time last_tick;
    mono_time next_ping;
    mono_time next_candidate;
    std::set<ip_address> push_to;   ///< members that get the whole list with the next tick
    std::set<ip_address> disputed;  ///< dead here, alive elsewhere
    bool push_wanted{false};
    config_revision confirming{0};
    mono_time confirm_until;
    token_bucket urgent_budget;
};

/// Events.
struct membership_tick {};
struct message_received {
    control_message message;
};
struct vm_list_received {
    std::vector<member> listed;  ///< address, failure domain and region
};
struct revision_applied {
    config_revision revision;
};
struct leaving_started {};
/// Asks all live members for their revision until they report `revision` (10 s at most).
struct confirmation_wanted {
    config_revision revision;
};
using membership_event = std::variant<membership_tick, message_received, vm_list_received, revision_applied,
                                      leaving_started, confirmation_wanted>;

/// Effects.
struct outgoing_message {
    ip_address to;
    control_message message;
};
struct member_change {
    ip_address address;
    member_state before;
    member_state after;
};
struct heard_revision {
    ip_address from;
    config_revision revision;
};
struct membership_effects {
    std::vector<outgoing_message> messages;
    std::vector<member_change> changes;  ///< of state, for logs
    std::vector<heard_revision> heard;   ///< first-hand, for the propagation of the configuration
    bool members_changed{false};         ///< any change, revisions included
    bool resumed{false};                 ///< the process was paused; refresh before new decisions
};

/// A state that knows only the local member.
[[nodiscard]] membership_state make_membership(member self, const membership_options& options,
                                               std::uint64_t seed, mono_time now);

/// Advances the state. Deterministic in its arguments; `now` must not go back. Ticks should come every 50 ms.
[[nodiscard]] membership_effects apply(membership_state& state, const membership_event& event, mono_time now,
                                       std::mt19937_64& random);

/// All known members, the local one included, sorted by address.
[[nodiscard]] member_list list_members(const membership_state& state);

/// Whether a member takes part: alive or suspect.
[[nodiscard]] inline bool is_live(member_state state) noexcept {
    return state == member_state::alive || state == member_state::suspect;
}

/// Up to 4 random live peers of the local failure domain and one of each other domain: the receivers of news,
/// which reach n members after about log4(n) steps.
[[nodiscard]] std::vector<ip_address> pick_push_targets(const membership_state& state,
                                                        std::mt19937_64& random);

/// Whether every live member has reported `revision` or a later one.
[[nodiscard]] bool in_force_everywhere(const member_list& members, config_revision revision);

}  // namespace guavaramp
