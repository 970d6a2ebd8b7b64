#pragma once

#include <guavaramp/membership/member.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// Time in which all entry VMs learn of a membership change, clock differences included.
inline constexpr std::int64_t ownership_settle_ms = 2000;

/// The owner of a request id.
struct request_route {
    ip_address owner;
    /// False when the entry VM that owned the id when it was first sent has vanished with its memory: `owner`
    /// then cannot know whether the request ran.
    bool settled{true};
};

/// Who owned request ids when, as this daemon saw it. The owner of an id is the first in rendezvous order
/// among the entry VMs that were serving `ownership_settle_ms` before the id was first sent. A membership
/// change thus moves only ids that are first sent after all entry VMs know of it. A start counts from the
/// incarnation, which all see alike, and not from the moment at which each hears of it: with the latter, the
/// old and the new owner would both act for ids sent in between. Times are Unix milliseconds and must not go
/// back. Not thread-safe.
class owner_history {
public:
    /// `incarnation` is the start time of this daemon that it tells others.
    owner_history(const ip_address& self, std::uint64_t incarnation);

    /// Applies a member list.
    void update(const member_list& members, std::int64_t now_ms);

    /// Records that this daemon did not run for a while: others may have taken over its ids meanwhile, and
    /// act for them until they hear that it is back.
    void record_pause(std::int64_t now_ms) {
        unknown_before_ms_ = now_ms;
        last_split_ms_ = now_ms;
    }

    [[nodiscard]] request_route route(const std::string& id, std::int64_t first_sent_ms) const;

    /// End of the last pause or suspicion of this daemon: what happened to ids before is unknown.
    [[nodiscard]] std::int64_t unknown_before_ms() const { return unknown_before_ms_; }

    /// The last moment at which an entry VM had vanished without announcing that it leaves. Such a VM may be
    /// alive beyond a partition and may own the same ids there. At least the start of this daemon.
    [[nodiscard]] std::int64_t last_split_ms(std::int64_t now_ms) const;

    [[nodiscard]] const ip_address& self() const { return self_; }

    /// Live entry VMs, this one included unless it leaves.
    [[nodiscard]] std::size_t live_count() const;

private:
    /// A time in which an entry VM served with one memory.
    struct tenure {
        std::int64_t from_ms{0};
        std::int64_t to_ms{0};
    };

    struct entry_vm {
        member_state state{member_state::dead};
        std::uint64_t incarnation{0};
        bool listed{false};
        std::deque<tenure> tenures;               ///< oldest first; the last one is open while it serves
        std::optional<std::int64_t> vanished_ms;  ///< when it was last seen as dead or missing
    };

    void apply(entry_vm& item, const member& seen, std::int64_t now_ms);
    void apply_missing(entry_vm& item, bool is_self, std::int64_t now_ms);
    void forget_old(std::int64_t now_ms);
    [[nodiscard]] std::vector<ip_address> serving_now() const;

    ip_address self_;
    std::int64_t unknown_before_ms_{0};
    std::map<ip_address, entry_vm> entries_;
    std::int64_t last_split_ms_{0};
};

/// The owner of `id` among `owners`; `self` when there are none. Thread-safe.
[[nodiscard]] ip_address request_owner(const std::vector<ip_address>& owners, const std::string& id,
                                       const ip_address& self);

}  // namespace guavaramp
