#include <guavaramp/base/hash.hpp>
#include <guavaramp/membership/membership.hpp>

#include <algorithm>
#include <cmath>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;
using peer = membership_state::peer;
using pending_ping = membership_state::pending_ping;

constexpr std::size_t push_peers_own_domain = 4;
// SWIM (section 4.1) sends an update 3 log2(n) times; pushes do most of the spreading here, and pings repair.
constexpr double sends_per_doubling = 2.0;
// Bounds a ping to about 400 bytes, so that a start of the whole fleet does not exceed the control budget.
constexpr std::size_t max_piggybacked = 6;
constexpr auto confirm_time = milliseconds{10'000};
constexpr auto confirm_retry = milliseconds{500};
// Confirmation pings of one tick (50 ms): 530 members are asked within 1.4 s.
constexpr std::size_t confirms_per_tick = 20;
constexpr std::size_t disputes_per_tick = 10;
// A daemon that starts, or is cut off, looks for its first peer faster.
constexpr auto lonely_candidate_period = milliseconds{100};
constexpr auto dispute_retry = milliseconds{1000};
// Pushed updates: 40 bytes each, so 200 a second stay below half of a daemon's control budget of 19 KB/s.
constexpr double urgent_updates_per_second = 200;
constexpr double urgent_updates_burst = 1000;

enum ping_group : int { own_domain, other_domains, candidates };

bool answers_pings(member_state state) { return state != member_state::dead; }

/// Whether a record about a member replaces another one: a higher incarnation wins; at the same one the later
/// state in alive, suspect, leaving, dead.
bool overrides(const member& update, const member& known) {
    if (update.incarnation != known.incarnation) {
        return update.incarnation > known.incarnation;
    }
    return update.state > known.state;
}

/// One call of `apply`: the state with its surroundings.
struct step {
    membership_state& state;
    mono_time now;
    std::mt19937_64& random;
    membership_effects effects;

    void run(const membership_tick& event);
    void run(const message_received& event);
    void run(const vm_list_received& event);
    void run(const revision_applied& event);
    void run(const leaving_started& event);
    void run(const confirmation_wanted& event);

    void send(const ip_address& to, control_message message);
    void take_updates(control_message& message, const ip_address& to);
    void send_ping(const ip_address& target, pending_ping details);
    void ping_next();
    void ping_candidate();
    void ping_disputed();
    void ping_for_confirmation();
    void check_pending();
    void ask_others(std::uint64_t number, pending_ping& ping);
    void ping_failed(const pending_ping& ping);
    void declare(peer& changed, member_state after);
    void check_suspicions();
    [[nodiscard]] bool has_suspects() const;
    void send_pushes();
    void resume();
    void forget_old();

    void merge(const member& update, bool passes_on);
    void merge_self(const member& update);
    void add_peer(const member& update, bool passes_on);
    void spread(peer& changed, bool urgent);
    void handle_ack(const control_message& message);
    void send_all(const ip_address& to);
    [[nodiscard]] std::optional<ip_address> next_in(ping_group group);
    [[nodiscard]] bool belongs(const peer& candidate, ping_group group) const;
    [[nodiscard]] std::vector<ip_address> random_live(std::size_t count, const ip_address& except);
};

void step::spread(peer& changed, bool urgent) {
    const auto count = static_cast<double>(state.peers.size() + 1);
    changed.sends_left = static_cast<std::uint32_t>(std::ceil(sends_per_doubling * std::log2(count + 1)));
    changed.urgent = changed.urgent || urgent;
    state.push_wanted = state.push_wanted || urgent;
    effects.members_changed = true;
}

void step::take_updates(control_message& message, const ip_address& to) {
    const auto add = [&message](const member& record) {
        const bool present = std::any_of(message.updates.begin(), message.updates.end(),
                                         [&](const member& item) { return item.address == record.address; });
        if (!present && message.updates.size() < max_piggybacked) {
            message.updates.push_back(record);
            return true;
        }
        return false;
    };
    // A member learns of its own suspicion or declaration with the next message, so that it can refute it.
    if (const auto target = state.peers.find(to); target != state.peers.end() &&
                                                  target->second.known.incarnation != 0 &&
                                                  target->second.known.state != member_state::alive) {
        add(target->second.known);
    }
    std::vector<peer*> waiting;
    for (auto& [address, item] : state.peers) {
        if (item.sends_left > 0 && address != to) {
            waiting.push_back(&item);
        }
    }
    // Records that were sent least go first.
    std::stable_sort(waiting.begin(), waiting.end(), [](const peer* left, const peer* right) {
        return left->sends_left > right->sends_left;
    });
    for (auto* item : waiting) {
        if (!add(item->known)) {
            break;
        }
        --item->sends_left;
    }
}

void step::send(const ip_address& to, control_message message) {
    message.sender = state.self;
    take_updates(message, to);
    effects.messages.push_back({.to = to, .message = std::move(message)});
}

void step::send_ping(const ip_address& target, pending_ping details) {
    details.target = target;
    details.sent_at = now;
    const auto number = state.next_number++;
    state.pending.emplace(number, details);
    send(target, {.kind = message_kind::ping, .number = number});
}

bool step::belongs(const peer& candidate, ping_group group) const {
    const bool answering = answers_pings(candidate.known.state);
    if (group == candidates) {
        return !answering && candidate.listed;
    }
    const bool own = candidate.known.failure_domain == state.self.failure_domain;
    return answering && own == (group == own_domain);
}

/// The member after the last one of this group in a permutation of the members that is this daemon's own.
/// A fixed permutation bounds the time between two pings to a member; new members come in at random places.
std::optional<ip_address> step::next_in(ping_group group) {
    std::optional<std::pair<std::uint64_t, ip_address>> first;
    std::optional<std::pair<std::uint64_t, ip_address>> following;
    const auto cursor = state.cursors[group];
    for (const auto& [address, item] : state.peers) {
        if (!belongs(item, group)) {
            continue;
        }
        const std::pair place{hash_bytes(std::as_bytes(std::span{address.bytes}), state.order_seed), address};
        if (!first || place < *first) {
            first = place;
        }
        if (place.first > cursor && (!following || place < *following)) {
            following = place;
        }
    }
    const auto chosen = following ? following : first;
    if (!chosen) {
        return std::nullopt;
    }
    state.cursors[group] = chosen->first;
    return chosen->second;
}

/// Two pings in three go to the own failure domain, so that a partition is noticed from both sides and a
/// crash mostly by neighbours.
void step::ping_next() {
    const bool other = state.ping_count++ % 3 == 2;
    auto target = next_in(other ? other_domains : own_domain);
    if (!target) {
        target = next_in(other ? own_domain : other_domains);
    }
    if (target) {
        send_ping(*target, {});
    }
}

void step::ping_candidate() {
    if (const auto target = next_in(candidates)) {
        send_ping(*target, {.candidate = true});
    }
}

/// Asks members that are dead here and alive elsewhere: with the ping they learn that they have to refute.
void step::ping_disputed() {
    for (std::size_t sent = 0; sent < disputes_per_tick && !state.disputed.empty(); ++sent) {
        const auto target = *state.disputed.begin();
        state.disputed.erase(state.disputed.begin());
        const auto found = state.peers.find(target);
        if (found != state.peers.end() && now >= found->second.dispute_after) {
            found->second.dispute_after = now + dispute_retry;
            send_ping(target, {.candidate = true});
        }
    }
}

void step::ping_for_confirmation() {
    if (now >= state.confirm_until) {
        return;
    }
    std::size_t sent = 0;
    for (auto& [address, item] : state.peers) {
        const bool missing = is_live(item.known.state) && item.known.revision < state.confirming;
        if (missing && now >= item.confirm_after && sent < confirms_per_tick) {
            item.confirm_after = now + confirm_retry;
            // No suspicion follows from these pings: they are more than the regular ones would be.
            send_ping(address, {.candidate = true});
            ++sent;
        }
    }
}

std::vector<ip_address> step::random_live(std::size_t count, const ip_address& except) {
    std::vector<ip_address> live;
    for (const auto& [address, item] : state.peers) {
        if (is_live(item.known.state) && address != except) {
            live.push_back(address);
        }
    }
    std::shuffle(live.begin(), live.end(), random);
    live.resize(std::min(live.size(), count));
    return live;
}

void step::ask_others(std::uint64_t number, pending_ping& ping) {
    ping.indirect_sent = true;
    for (const auto& address : random_live(state.options.indirect_peers, ping.target)) {
        send(address, {.kind = message_kind::ping_request, .number = number, .subject = ping.target});
    }
}

void step::declare(peer& changed, member_state after) {
    effects.changes.push_back(
        {.address = changed.known.address, .before = changed.known.state, .after = after});
    changed.known.state = after;
    changed.changed_at = now;
    changed.dead_at.reset();
    if (after == member_state::suspect) {
        changed.dead_at = now + state.options.dead_after;
    }
    spread(changed, after != member_state::suspect);
}

void step::ping_failed(const pending_ping& ping) {
    const auto found = state.peers.find(ping.target);
    if (found == state.peers.end() || ping.candidate || ping.requested_by) {
        return;
    }
    if (found->second.known.state == member_state::alive) {
        declare(found->second, member_state::suspect);
        // One more direct attempt, which also tells the member about the suspicion.
        send_ping(ping.target, {.candidate = true});
    } else if (found->second.known.state == member_state::leaving) {
        declare(found->second, member_state::dead);
    }
}

void step::check_pending() {
    std::vector<pending_ping> failed;
    for (auto it = state.pending.begin(); it != state.pending.end();) {
        auto& [number, ping] = *it;
        const bool expects = !ping.candidate && !ping.requested_by;
        if (now - ping.sent_at >= state.options.suspect_after) {
            failed.push_back(ping);
            it = state.pending.erase(it);
            continue;
        }
        if (expects && !ping.indirect_sent && now - ping.sent_at >= state.options.indirect_after) {
            ask_others(number, ping);
        }
        ++it;
    }
    for (const auto& ping : failed) {
        ping_failed(ping);
    }
}

bool step::has_suspects() const {
    return std::any_of(state.peers.begin(), state.peers.end(),
                       [](const auto& entry) { return entry.second.known.state == member_state::suspect; });
}

void step::check_suspicions() {
    for (auto& [address, item] : state.peers) {
        if (item.known.state == member_state::suspect && item.dead_at && now >= *item.dead_at) {
            declare(item, member_state::dead);
        }
    }
}

void step::forget_old() {
    std::erase_if(state.peers, [this](const auto& entry) {
        const auto& item = entry.second;
        const bool old = now - item.changed_at >= state.options.forget_after;
        return item.known.state == member_state::dead && !item.listed && old;
    });
}

void step::send_pushes() {
    for (const auto& address : state.push_to) {
        send_all(address);
    }
    state.push_to.clear();
    if (!state.push_wanted) {
        return;
    }
    std::vector<member> news;
    for (auto& [address, item] : state.peers) {
        if (item.urgent && news.size() < max_updates && take_tokens(state.urgent_budget, 1, now)) {
            item.urgent = false;
            news.push_back(item.known);
        }
    }
    state.push_wanted = std::any_of(state.peers.begin(), state.peers.end(),
                                    [](const auto& entry) { return entry.second.urgent; });
    for (const auto& address : pick_push_targets(state, random)) {
        effects.messages.push_back(
            {.to = address, .message = {.kind = message_kind::push, .sender = state.self, .updates = news}});
    }
}

/// After a pause, the others may have given up on this member and it must not give up on them: all waiting
/// ends without a verdict, and the member list is asked for again.
void step::resume() {
    effects.resumed = true;
    state.pending.clear();
    for (auto& [address, item] : state.peers) {
        if (item.dead_at) {
            item.dead_at = now + state.options.dead_after;
        }
    }
    for (const auto& address : random_live(state.options.indirect_peers, {})) {
        send(address, {.kind = message_kind::sync_request});
    }
}

void step::run(const membership_tick&) {
    if (now - state.last_tick >= state.options.late_tick) {
        resume();
    }
    state.last_tick = now;
    check_pending();
    check_suspicions();
    if (now >= state.next_ping) {
        state.next_ping =
            now + (has_suspects() ? state.options.alarmed_ping_period : state.options.ping_period);
        ping_next();
        forget_old();
    }
    if (now >= state.next_candidate) {
        const bool alone = random_live(1, {}).empty();
        state.next_candidate = now + (alone ? lonely_candidate_period : state.options.candidate_period);
        ping_candidate();
    }
    ping_disputed();
    ping_for_confirmation();
    send_pushes();
}

void step::merge_self(const member& update) {
    const bool matches = update.state == state.self.state || update.state == member_state::alive;
    const bool newer = update.incarnation > state.self.incarnation;
    if (update.incarnation < state.self.incarnation || (matches && !newer)) {
        return;
    }
    state.self.incarnation = update.incarnation + 1;
    state.push_wanted = true;
    effects.members_changed = true;
}

void step::add_peer(const member& update, bool passes_on) {
    auto& added = state.peers[update.address];
    added.known = update;
    added.changed_at = now;
    if (update.state == member_state::suspect) {
        added.dead_at = now + state.options.dead_after;
    }
    effects.changes.push_back(
        {.address = update.address, .before = member_state::dead, .after = update.state});
    effects.members_changed = true;
    if (passes_on) {
        spread(added, true);
    }
}

void step::merge(const member& update, bool passes_on) {
    if (update.address == state.self.address) {
        merge_self(update);
        return;
    }
    const auto found = state.peers.find(update.address);
    if (found == state.peers.end()) {
        if (update.state != member_state::dead) {
            add_peer(update, passes_on);
        }
        return;
    }
    auto& known = found->second.known;
    if (update.incarnation == known.incarnation && update.revision > known.revision) {
        known.revision = update.revision;
        effects.members_changed = true;
    }
    if (!overrides(update, known)) {
        const bool disputed = known.state == member_state::dead && update.state != member_state::dead;
        if (disputed && update.incarnation == known.incarnation) {
            state.disputed.insert(update.address);
        }
        return;
    }
    const auto before = known.state;
    const bool restarted = update.incarnation > known.incarnation;
    const bool first_contact = known.incarnation == 0;
    const auto revision = restarted ? update.revision : std::max(update.revision, known.revision);
    known = update;
    known.revision = revision;
    if (before == update.state) {
        spread(found->second, true);
        return;
    }
    known.state = before;
    declare(found->second, update.state);
    if (first_contact && !passes_on) {
        found->second.sends_left = 0;
        found->second.urgent = false;
    }
}

void step::send_all(const ip_address& to) {
    std::vector<member> chunk;
    const auto flush = [&] {
        if (!chunk.empty()) {
            effects.messages.push_back(
                {.to = to, .message = {.kind = message_kind::sync, .sender = state.self, .updates = chunk}});
            chunk.clear();
        }
    };
    for (const auto& [address, item] : state.peers) {
        // After a partition each side holds the other's members for dead; sending that would make the
        // receiver give up live neighbours until they refute it.
        if (item.known.state == member_state::dead) {
            continue;
        }
        chunk.push_back(item.known);
        if (chunk.size() == max_updates) {
            flush();
        }
    }
    flush();
}

void step::handle_ack(const control_message& message) {
    const auto found = state.pending.find(message.number);
    if (found == state.pending.end()) {
        return;
    }
    const auto ping = found->second;
    const bool relayed = message.subject == ping.target;
    if (message.sender.address != ping.target && !relayed) {
        return;
    }
    state.pending.erase(found);
    if (ping.requested_by) {
        send(*ping.requested_by,
             {.kind = message_kind::ack, .number = ping.requester_number, .subject = ping.target});
    }
}

void step::run(const message_received& event) {
    const auto& message = event.message;
    const auto& from = message.sender.address;
    if (from == state.self.address) {
        return;
    }
    const auto known = state.peers.find(from);
    const bool appeared = known == state.peers.end() || known->second.known.state == member_state::dead;
    merge(message.sender, true);
    for (const auto& update : message.updates) {
        merge(update, message.kind != message_kind::sync);
    }
    effects.heard.push_back({.from = from, .revision = message.sender.revision});
    switch (message.kind) {
        case message_kind::ping:
            send(from, {.kind = message_kind::ack, .number = message.number});
            break;
        case message_kind::ack:
            handle_ack(message);
            break;
        case message_kind::ping_request:
            send_ping(message.subject, {.requested_by = from, .requester_number = message.number});
            break;
        case message_kind::push:
        case message_kind::sync:
            break;
        case message_kind::sync_request:
            state.push_to.insert(from);
            break;
    }
    if (const auto after = state.peers.find(from);
        appeared && after != state.peers.end() && after->second.known.state != member_state::dead) {
        // A member that joins, or comes back after a partition, exchanges the whole list with the first
        // member that hears it.
        state.push_to.insert(from);
    }
}

void step::run(const vm_list_received& event) {
    for (auto& [address, item] : state.peers) {
        item.listed = false;
    }
    for (const auto& listed : event.listed) {
        if (listed.address == state.self.address) {
            continue;
        }
        auto [found, added] = state.peers.try_emplace(listed.address);
        found->second.listed = true;
        if (added) {
            found->second.known = listed;
            found->second.known.incarnation = 0;
            found->second.known.state = member_state::dead;
            found->second.known.revision = config_revision{0};
            found->second.changed_at = now;
            effects.members_changed = true;
        }
    }
}

void step::run(const revision_applied& event) {
    state.self.revision = event.revision;
    state.push_wanted = true;
    effects.members_changed = true;
}

void step::run(const leaving_started&) {
    if (state.self.state == member_state::leaving) {
        return;
    }
    state.self.state = member_state::leaving;
    effects.members_changed = true;
    // The announcement goes to the whole fleet at once because ownership moves with it; 410 planned stops a
    // day make this 0.6 bytes a second per daemon at 530 daemons.
    for (const auto& [address, item] : state.peers) {
        if (answers_pings(item.known.state)) {
            effects.messages.push_back(
                {.to = address, .message = {.kind = message_kind::push, .sender = state.self}});
        }
    }
}

void step::run(const confirmation_wanted& event) {
    state.confirming = std::max(state.confirming, event.revision);
    state.confirm_until = now + confirm_time;
}

}  // namespace

membership_state make_membership(member self, const membership_options& options, std::uint64_t seed,
                                 mono_time now) {
    membership_state state;
    state.options = options;
    state.self = std::move(self);
    state.order_seed = seed;
    state.last_tick = now;
    state.next_ping = now;
    state.next_candidate = now;
    state.urgent_budget = make_token_bucket(urgent_updates_per_second, urgent_updates_burst, now);
    return state;
}

membership_effects apply(membership_state& state, const membership_event& event, mono_time now,
                         std::mt19937_64& random) {
    step current{.state = state, .now = now, .random = random};
    std::visit([&current](const auto& item) { current.run(item); }, event);
    return std::move(current.effects);
}

member_list list_members(const membership_state& state) {
    member_list list{.members = {state.self}};
    list.members.reserve(state.peers.size() + 1);
    for (const auto& [address, item] : state.peers) {
        list.members.push_back(item.known);
    }
    std::sort(list.members.begin(), list.members.end(),
              [](const member& left, const member& right) { return left.address < right.address; });
    return list;
}

std::vector<ip_address> pick_push_targets(const membership_state& state, std::mt19937_64& random) {
    std::map<std::string, std::vector<ip_address>> by_domain;
    for (const auto& [address, item] : state.peers) {
        if (is_live(item.known.state)) {
            by_domain[item.known.failure_domain].push_back(address);
        }
    }
    std::vector<ip_address> targets;
    for (auto& [domain, addresses] : by_domain) {
        const std::size_t wanted = domain == state.self.failure_domain ? push_peers_own_domain : 1;
        std::shuffle(addresses.begin(), addresses.end(), random);
        addresses.resize(std::min(addresses.size(), wanted));
        targets.insert(targets.end(), addresses.begin(), addresses.end());
    }
    return targets;
}

bool in_force_everywhere(const member_list& members, config_revision revision) {
    return std::all_of(members.members.begin(), members.members.end(), [revision](const member& item) {
        return !is_live(item.state) || item.revision >= revision;
    });
}

}  // namespace guavaramp
