#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>
#include <guavaramp/requests/owner_history.hpp>

#include <algorithm>
#include <limits>
#include <span>

namespace guavaramp {
namespace {

constexpr std::int64_t open_end = std::numeric_limits<std::int64_t>::max() - ownership_settle_ms;
// Requests older than this have passed their deadline and the time for which outcomes are kept.
constexpr std::int64_t memory_ms = 12 * 60 * 1000;

bool serves(member_state state) noexcept {
    return state == member_state::alive || state == member_state::suspect;
}

}  // namespace

ip_address request_owner(const std::vector<ip_address>& owners, const std::string& id,
                         const ip_address& self) {
    const std::uint64_t item = hash_text(id);
    const ip_address* best = &self;
    double best_score = -1.0;
    for (const auto& candidate : owners) {
        const rendezvous_node node{.key = rendezvous_key(candidate)};
        const double score = rendezvous_score(node, item);
        if (score > best_score) {
            best = &candidate;
            best_score = score;
        }
    }
    return *best;
}

owner_history::owner_history(const ip_address& self, std::uint64_t incarnation) : self_(self) {
    const auto from_ms = static_cast<std::int64_t>(incarnation);
    // Others may hear late of a quick restart and act for this daemon's ids until then.
    last_split_ms_ = from_ms;
    entries_[self] = {.state = member_state::alive,
                      .incarnation = incarnation,
                      .tenures = {{.from_ms = from_ms, .to_ms = open_end}}};
}

void owner_history::update(const member_list& members, std::int64_t now_ms) {
    for (auto& [address, item] : entries_) {
        item.listed = false;
    }
    for (const auto& seen : members.members) {
        apply(entries_[seen.address], seen, now_ms);
    }
    for (auto& [address, item] : entries_) {
        if (!item.listed) {
            apply_missing(item, address == self_, now_ms);
        }
    }
    last_split_ms_ = last_split_ms(now_ms);
    forget_old(now_ms);
}

void owner_history::apply(entry_vm& item, const member& seen, std::int64_t now_ms) {
    const bool is_self = seen.address == self_;
    const bool served = serves(item.state);
    const bool new_memory = seen.incarnation > item.incarnation;
    const auto incarnation_ms = static_cast<std::int64_t>(seen.incarnation);
    const bool was_leaving = item.state == member_state::leaving;
    if (is_self && new_memory) {
        // This daemon refuted a suspicion: others may have taken over its ids.
        unknown_before_ms_ = now_ms;
        last_split_ms_ = now_ms;
    }
    if (served && (!serves(seen.state) || (new_memory && !is_self))) {
        item.tenures.back().to_ms = new_memory ? std::min(now_ms, incarnation_ms) : now_ms;
    }
    if (serves(seen.state) && (!served || (new_memory && !is_self))) {
        // A process that is older than its disappearance was out of reach, and others may have acted for it
        // until now.
        const bool started = item.tenures.empty() || incarnation_ms >= item.tenures.back().to_ms;
        item.tenures.push_back({.from_ms = started ? incarnation_ms : now_ms, .to_ms = open_end});
    }
    if (seen.state != member_state::dead) {
        if (item.vanished_ms) {
            last_split_ms_ = now_ms;
        }
        item.vanished_ms.reset();
    } else if (!is_self && !was_leaving) {
        item.vanished_ms = now_ms;
    }
    item.state = seen.state;
    item.incarnation = std::max(item.incarnation, seen.incarnation);
    item.listed = true;
}

void owner_history::apply_missing(entry_vm& item, bool is_self, std::int64_t now_ms) {
    if (is_self || item.state == member_state::dead) {
        return;
    }
    if (serves(item.state)) {
        item.tenures.back().to_ms = now_ms;
        item.vanished_ms = now_ms;
    }
    item.state = member_state::dead;
}

void owner_history::forget_old(std::int64_t now_ms) {
    for (auto& [address, item] : entries_) {
        std::erase_if(item.tenures, [now_ms](const tenure& past) { return now_ms - memory_ms > past.to_ms; });
        if (item.vanished_ms && !item.listed && now_ms - *item.vanished_ms > memory_ms) {
            item.vanished_ms.reset();
        }
    }
    std::erase_if(entries_, [](const auto& named) {
        const auto& item = named.second;
        return !item.listed && item.tenures.empty() && !item.vanished_ms;
    });
}

std::int64_t owner_history::last_split_ms(std::int64_t now_ms) const {
    const bool split = std::any_of(entries_.begin(), entries_.end(),
                                   [](const auto& named) { return named.second.vanished_ms.has_value(); });
    return split ? now_ms : last_split_ms_;
}

std::vector<ip_address> owner_history::serving_now() const {
    std::vector<ip_address> owners;
    for (const auto& [address, item] : entries_) {
        if (serves(item.state)) {
            owners.push_back(address);
        }
    }
    return owners;
}

std::size_t owner_history::live_count() const { return serving_now().size(); }

request_route owner_history::route(const std::string& id, std::int64_t first_sent_ms) const {
    std::vector<ip_address> owners;
    std::map<ip_address, bool> has_memory;
    for (const auto& [address, item] : entries_) {
        for (const auto& served : item.tenures) {
            if (served.from_ms + ownership_settle_ms < first_sent_ms &&
                first_sent_ms <= served.to_ms + ownership_settle_ms) {
                const bool last = &served == &item.tenures.back();
                owners.push_back(address);
                has_memory[address] =
                    last && (served.to_ms == open_end || item.state == member_state::leaving);
                break;
            }
        }
    }
    if (!owners.empty()) {
        const auto owner = request_owner(owners, id, self_);
        if (has_memory.at(owner)) {
            return {.owner = owner};
        }
    }
    return {.owner = request_owner(serving_now(), id, self_), .settled = false};
}

}  // namespace guavaramp
