#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/choice.hpp>
#include <guavaramp/director/director.hpp>
#include <guavaramp/director/store_sync.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace guavaramp {
namespace {

/// A host that left the list may still finish answers; its flows are reset once they have shown no progress
/// for this long. Five times the callers' first repeat.
constexpr auto progress_protects = std::chrono::milliseconds{1000};
/// Callers repeat unanswered data after 200 ms; data seen again sooner was overtaken on its way.
constexpr auto least_repeat_time = std::chrono::milliseconds{150};
/// A living host answers an opening packet within a round trip, at most 10 ms between failure domains; the
/// rest is for its processor.
constexpr auto open_answer_time = std::chrono::milliseconds{40};
/// Hosts that one opening packet is sent to before the caller's own copy.
constexpr std::uint32_t most_hosts_tried = 3;
/// A request that has waited this long makes a host suspect if none of its flows has had an answer meanwhile.
/// Four times the usual work of a request.
constexpr auto request_answer_time = std::chrono::milliseconds{80};
/// A request that has waited this long, with no answer from its host to any flow meanwhile, is overdue. Above
/// what the longest request takes.
constexpr auto overdue_after = std::chrono::milliseconds{400};
/// Time for other directors to object that a host answers them: ten round trips inside a failure domain.
constexpr auto objection_time = std::chrono::milliseconds{50};
/// What this director's own path must look like for a missing answer to be the host's fault: packets from
/// callers wait at this machine's link or processor when answers of all hosts are late or absent. Half of the
/// time after which a request is overdue.
constexpr auto clear_path_answer_age = std::chrono::milliseconds{250};
constexpr double clear_path_answer_ms = 200.0;
/// Share of the newest answer in the average over all hosts: about the last five count.
constexpr double newest_answer_share = 0.2;
/// How long ago an upstream may have answered to serve as a probe's reference.
constexpr auto reference_validity = std::chrono::milliseconds{1000};
/// Opening packets and requests that are waited for; beyond this only the callers' repeats are evidence.
constexpr std::size_t max_pending = 8192;
/// Idle time after which a flow is forgotten when the configuration says nothing.
constexpr auto default_idle_timeout = std::chrono::milliseconds{15000};
/// Unexplained tags that are remembered; further ones are dropped as unconfirmed until there is room.
constexpr std::size_t max_unexplained_tags = 4096;
/// How long an unexplained tag is remembered after it was first seen.
constexpr auto keep_unexplained_tag = std::chrono::seconds{30};

constexpr std::array<std::string_view, decision_reasons> reason_names{
    "placed",           "placed_again", "placed_elsewhere",        "known_flow",    "tagged_flow",
    "no_configuration", "no_route",     "no_route_unconfirmed",    "no_listing",    "no_upstream",
    "untagged",         "unknown_tag",  "unknown_tag_unconfirmed", "upstream_gone", "upstream_unreachable",
    "upstream_stalled"};

decision drop(decision_reason reason) { return {.outcome = verdict::drop, .reason = reason}; }

/// A reset, unless the packet is itself one: two ends that answer resets with resets never stop.
decision reset(const flow_packet& packet, decision_reason reason, const known_upstream* target = nullptr) {
    return {.outcome = packet.aborts ? verdict::drop : verdict::reset, .reason = reason, .target = target};
}

decision forward(const known_upstream& target, steering_tag tag, decision_reason reason) {
    return {.outcome = verdict::forward, .reason = reason, .target = &target, .tag = tag};
}

/// Whether `later` comes after `earlier` in sequence space, which wraps (RFC 9293 section 3.4).
bool is_after(std::uint32_t later, std::uint32_t earlier) noexcept {
    return static_cast<std::int32_t>(later - earlier) > 0;
}

decision without_route(const fleet_view& view, const flow_packet& packet, mono_time now) {
    // A route that was added a moment ago may not be here yet; silence lets the caller's copy find it.
    if (now >= view.routes_trusted_until) {
        return drop(decision_reason::no_route_unconfirmed);
    }
    return reset(packet, decision_reason::no_route);
}

/// How much later than others this director tries an upstream again that has stalled.
std::chrono::milliseconds trial_delay(const director_state& state, steering_tag tag) noexcept {
    const auto hash = mix_hashes(state.seed, static_cast<std::uint32_t>(tag));
    return std::chrono::milliseconds{hash % static_cast<std::uint64_t>(trial_spread.count())};
}

/// A new flow goes to `tag`. Returns what the other directors should know of it.
std::optional<host_note> note_placed(director_state& state, steering_tag tag, mono_time now) {
    auto& health = health_of(state, tag);
    if (!is_on_trial(health, now) || is_avoided(health, now)) {
        return std::nullopt;
    }
    note_trial(health, now);
    return host_note{.kind = host_note_kind::trial, .tag = tag};
}

/// The host that a flow's opening packet went to has not answered: moves the flow to `chosen`. Returns the
/// silent host if it should be probed.
const known_upstream* move_unopened(director_state& state, const fleet_view& view, flow_entry& entry,
                                    const known_upstream& chosen, mono_time now) {
    auto& health = health_of(state, entry.tag);
    const auto* silent = find_by_tag(*view.upstreams, entry.tag);
    const bool probe = note_silence(health, entry.unanswered_since, now) && silent != nullptr;
    health.avoid_until = now + avoid_after_silence;
    const auto tag = tag_of(chosen.report.delivery_id);
    if (tag != entry.tag) {
        retag_flow(state.flows, entry, tag);
    }
    set_unanswered(state.flows, entry, now);
    return probe ? silent : nullptr;
}

/// The upstream for a new flow of `matched`, or null when none of its services takes new flows.
const known_upstream* choose_for(const director_state& state, const fleet_view& view, const route& matched,
                                 const flow_tuple& flow, steering_tag except, mono_time now) {
    const auto hash = hash_of(flow);
    for (const auto* service : services_in_order(matched, hash)) {
        if (const auto* chosen = choose_upstream(state, view, *service, hash, except, now)) {
            return chosen;
        }
    }
    return nullptr;
}

decision place(director_state& state, const fleet_view& view, const route& matched, const flow_packet& packet,
               mono_time now) {
    if (view.upstreams == nullptr) {
        return drop(decision_reason::no_listing);
    }
    auto* entry = find_flow(state.flows, packet.flow);
    const bool copy = entry != nullptr && !entry->established && entry->opening_sequence == packet.sequence;
    const auto except = copy ? entry->tag : no_tag;
    const auto* chosen = choose_for(state, view, matched, packet.flow, except, now);
    if (chosen == nullptr) {
        remove_flow(state.flows, packet.flow);
        return reset(packet, decision_reason::no_upstream);
    }
    const auto tag = tag_of(chosen->report.delivery_id);
    if (copy) {
        const bool moved = tag != entry->tag;
        entry->last_seen = now;
        const auto* probe = move_unopened(state, view, *entry, *chosen, now);
        auto decided =
            forward(*chosen, tag, moved ? decision_reason::placed_elsewhere : decision_reason::placed_again);
        decided.probe = probe;
        return decided;
    }
    add_flow(state.flows, packet.flow,
             {.tag = tag,
              .opening_sequence = packet.sequence,
              .sent_until = packet.sequence + 1,
              .last_seen = now,
              .unanswered_since = now});
    auto decided = forward(*chosen, tag, decision_reason::placed);
    decided.note = note_placed(state, tag, now);
    return decided;
}

/// From when on it counts that an upstream is not listed since `absent_since`: after the store's return,
/// hosts take some time to be listed again.
mono_time settled_at(const fleet_view& view, mono_time absent_since) noexcept {
    return view.steady_since == mono_time::max() ? view.steady_since
                                                 : std::max(absent_since, view.steady_since) + relisting_time;
}

bool is_gone(const fleet_view& view, const known_upstream& upstream, mono_time now) noexcept {
    return !upstream.listed && now >= settled_at(view, upstream.unlisted_at);
}

/// A tag that no listing explains: the flow's upstream may have been listed after the last reading.
decision explain_tag(director_state& state, const fleet_view& view, const flow_packet& packet,
                     steering_tag tag, mono_time now) {
    const auto key = static_cast<std::uint32_t>(tag);
    if (state.unexplained_tags.size() >= max_unexplained_tags && !state.unexplained_tags.contains(key)) {
        return drop(decision_reason::unknown_tag_unconfirmed);
    }
    const auto first_seen = state.unexplained_tags.try_emplace(key, now).first->second;
    const bool confirmed = view.listing_as_of > first_seen && now >= settled_at(view, view.steady_since);
    if (!confirmed) {
        return drop(decision_reason::unknown_tag_unconfirmed);
    }
    return reset(packet, decision_reason::unknown_tag);
}

/// The entry of an established flow, made from the packet's tag when there is none. Null when the cache is
/// full.
flow_entry* established_entry(director_state& state, const flow_packet& packet, mono_time now) {
    auto* entry = find_flow(state.flows, packet.flow);
    if (entry == nullptr) {
        return add_flow(state.flows, packet.flow,
                        {.tag = packet.tag,
                         .last_acknowledged = packet.acknowledgement,
                         .sent_until = packet.sequence,
                         .last_seen = now,
                         .established = true});
    }
    if (!entry->established) {
        // The first packet after the opening one carries the tag of the host that the caller has accepted;
        // later ones may carry that of a second host that answered too.
        if (packet.tag != no_tag && packet.tag != entry->tag) {
            retag_flow(state.flows, *entry, packet.tag);
        }
        entry->established = true;
        entry->last_acknowledged = packet.acknowledgement;
        set_unanswered(state.flows, *entry, mono_time{});
        note_progress(health_of(state, entry->tag), now);
    }
    return entry;
}

void note_path_answer(director_state& state, mono_time sent, mono_time now) noexcept {
    const double answer_ms = std::chrono::duration<double, std::milli>(now - sent).count();
    const bool first = state.last_answer == mono_time{};
    state.recent_answer_ms += (answer_ms - state.recent_answer_ms) * (first ? 1.0 : newest_answer_share);
    state.last_answer = now;
}

/// Whether answers of hosts reach this director in time.
bool is_path_clear(const director_state& state, mono_time now) noexcept {
    return now - state.last_answer <= clear_path_answer_age && state.recent_answer_ms <= clear_path_answer_ms;
}

/// Learns from a packet of an established flow. Returns whether the upstream should be probed.
bool observe(director_state& state, flow_entry& entry, const flow_packet& packet, mono_time now) {
    auto& health = health_of(state, entry.tag);
    entry.last_seen = now;
    if (is_after(packet.acknowledgement, entry.last_acknowledged)) {
        entry.last_acknowledged = packet.acknowledgement;
        if (entry.unanswered_since != mono_time{}) {
            note_answer(health, entry.unanswered_since, now);
            note_path_answer(state, entry.unanswered_since, now);
        } else {
            note_data(health, now);
        }
        set_unanswered(state.flows, entry, mono_time{});
    }
    if (packet.payload_bytes == 0) {
        return false;
    }
    const std::uint32_t end = packet.sequence + packet.payload_bytes;
    if (is_after(end, entry.sent_until)) {
        entry.sent_until = end;
        if (entry.unanswered_since == mono_time{}) {
            set_unanswered(state.flows, entry, now);
            if (state.answers.size() < max_pending) {
                state.answers.push_back(
                    {.flow = packet.flow, .sent_at = now, .due_at = now + request_answer_time});
            }
        }
        return false;
    }
    const bool repeated =
        entry.unanswered_since != mono_time{} && now - entry.unanswered_since >= least_repeat_time;
    return repeated && note_silence(health, entry.unanswered_since, now);
}

decision steer(director_state& state, const fleet_view& view, const flow_packet& packet, mono_time now) {
    if (view.upstreams == nullptr) {
        return drop(decision_reason::no_listing);
    }
    const bool had_entry = find_flow(state.flows, packet.flow) != nullptr;
    if (!had_entry && packet.tag == no_tag) {
        return drop(decision_reason::untagged);
    }
    auto* entry = established_entry(state, packet, now);
    const auto tag = entry == nullptr ? packet.tag : entry->tag;
    const auto* target = find_by_tag(*view.upstreams, tag);
    if (target == nullptr) {
        remove_flow(state.flows, packet.flow);
        return explain_tag(state, view, packet, tag, now);
    }
    const auto sent = entry == nullptr ? mono_time{} : entry->unanswered_since;
    const bool had_stalled = health_of(state, tag).stalls > 0;
    const bool probe = entry != nullptr && observe(state, *entry, packet, now);
    const auto& health = health_of(state, tag);
    if (is_gone(view, *target, now) && now - health.last_progress > progress_protects) {
        remove_flow(state.flows, packet.flow);
        return reset(packet, decision_reason::upstream_gone, target);
    }
    if (is_unreachable(health, now)) {
        remove_flow(state.flows, packet.flow);
        return reset(packet, decision_reason::upstream_unreachable, target);
    }
    const bool answered = sent != mono_time{} && entry->unanswered_since == mono_time{};
    if (packet.aborts) {
        remove_flow(state.flows, packet.flow);
    } else if (packet.closes && entry != nullptr) {
        close_flow(state.flows, *entry);
    }
    auto decided =
        forward(*target, tag, had_entry ? decision_reason::known_flow : decision_reason::tagged_flow);
    decided.probe = probe ? target : nullptr;
    decided.answered_request = answered ? sent : mono_time{};
    if (had_stalled && health.stalls == 0) {
        decided.note = host_note{.kind = host_note_kind::cleared, .tag = tag};
    }
    return decided;
}

/// The entry of a flow that still waits for the answer to its opening packet, or null.
flow_entry* unopened_entry(director_state& state, const pending_open& pending) noexcept {
    auto* entry = find_flow(state.flows, pending.flow);
    const bool waits = entry != nullptr && !entry->established && entry->opening_sequence == pending.sequence;
    return waits ? entry : nullptr;
}

/// The entry of a flow that still waits for the answer to that request, or null.
const flow_entry* waiting_entry(director_state& state, const pending_answer& pending) noexcept {
    const auto* entry = find_flow(state.flows, pending.flow);
    return entry != nullptr && entry->unanswered_since == pending.sent_at ? entry : nullptr;
}

void add_probe(const fleet_view& view, steering_tag tag, due_work& due) {
    if (const auto* suspect = find_by_tag(*view.upstreams, tag)) {
        due.probes.push_back(suspect);
    }
}

/// Sends an unanswered opening packet to another host, unless there is none or it was sent to enough.
void reopen(director_state& state, const fleet_view& view, pending_open pending, mono_time now,
            due_work& due) {
    auto* entry = unopened_entry(state, pending);
    const auto* matched = view.routes == nullptr ? nullptr : find_route(*view.routes, pending.flow);
    if (entry == nullptr || matched == nullptr || view.upstreams == nullptr) {
        return;
    }
    const auto* chosen = choose_for(state, view, *matched, pending.flow, entry->tag, now);
    if (chosen == nullptr || tag_of(chosen->report.delivery_id) == entry->tag) {
        return;
    }
    if (const auto* probe = move_unopened(state, view, *entry, *chosen, now)) {
        due.probes.push_back(probe);
    }
    due.reopened.push_back(
        {.flow = pending.flow, .target = chosen, .tag = entry->tag, .packet = pending.packet});
    if (++pending.hosts_tried < most_hosts_tried) {
        pending.due_at = now + open_answer_time;
        state.opens.push_back(std::move(pending));
    }
}

std::uint32_t age_ms(mono_time then, mono_time now) noexcept {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Counts an overdue request and has the host looked at once there was time to object. Returns whether it
/// counts.
bool count_overdue(director_state& state, steering_tag tag, mono_time sent, mono_time now) {
    auto& health = health_of(state, tag);
    if (!note_overdue(health, sent, now)) {
        return false;
    }
    if (is_on_trial(health, now)) {
        // The trial has failed. Nothing is reset: one request is too little to tell a slow host.
        note_stalled(health, trial_delay(state, tag), now);
        return true;
    }
    if (health.overdue_requests >= overdue_requests_of_stalled && state.stall_checks.size() < max_pending) {
        state.stall_checks.push_back({.tag = tag, .due_at = now + objection_time});
    }
    return true;
}

/// Another director's probe has failed: flows that are open here make it worth one of our own.
note_effect suspect_with_peer(director_state& state, const known_upstream& suspect, steering_tag tag,
                              mono_time now) {
    auto& health = health_of(state, tag);
    if (health.unreachable || health.probing) {
        return {};
    }
    if (work_of(state.flows, tag).open > 0) {
        return {.probe = &suspect};
    }
    health.avoid_until = std::max(health.avoid_until, now + unreachable_validity);
    return {};
}

}  // namespace

std::string_view to_string(verdict value) noexcept {
    switch (value) {
        case verdict::forward:
            return "forward";
        case verdict::reset:
            return "reset";
        case verdict::drop:
            return "drop";
    }
    return "unknown";
}

std::string_view to_string(decision_reason value) noexcept {
    return reason_names.at(static_cast<std::size_t>(value));
}

bool can_decide(const fleet_view& view, const flow_packet& packet) noexcept {
    if (view.upstreams == nullptr) {
        return false;
    }
    return view.routes != nullptr || (!packet.opens && find_by_tag(*view.upstreams, packet.tag) != nullptr);
}

decision decide(director_state& state, const fleet_view& view, const flow_packet& packet, mono_time now) {
    if (view.routes == nullptr) {
        return can_decide(view, packet) ? steer(state, view, packet, now)
                                        : drop(decision_reason::no_configuration);
    }
    const auto* matched = find_route(*view.routes, packet.flow);
    if (matched == nullptr) {
        remove_flow(state.flows, packet.flow);
        return without_route(view, packet, now);
    }
    return packet.opens ? place(state, view, *matched, packet, now) : steer(state, view, packet, now);
}

void remember_open(director_state& state, const flow_packet& packet, std::span<const std::byte> bytes,
                   mono_time now) {
    if (state.opens.size() < max_pending) {
        state.opens.push_back({.flow = packet.flow,
                               .sequence = packet.sequence,
                               .due_at = now + open_answer_time,
                               .packet = {bytes.begin(), bytes.end()}});
    }
}

mono_time next_due(director_state& state, mono_time otherwise) {
    while (!state.opens.empty() && unopened_entry(state, state.opens.front()) == nullptr) {
        state.opens.pop_front();
    }
    for (auto* waiting : {&state.answers, &state.overdue}) {
        while (!waiting->empty() && waiting_entry(state, waiting->front()) == nullptr) {
            waiting->pop_front();
        }
    }
    if (!state.opens.empty()) {
        otherwise = std::min(otherwise, state.opens.front().due_at);
    }
    for (const auto* waiting : {&state.answers, &state.overdue}) {
        if (!waiting->empty()) {
            otherwise = std::min(otherwise, waiting->front().due_at);
        }
    }
    if (!state.stall_checks.empty()) {
        otherwise = std::min(otherwise, state.stall_checks.front().due_at);
    }
    return otherwise;
}

due_work collect_due(director_state& state, const fleet_view& view, mono_time now) {
    due_work due;
    while (!state.opens.empty() && state.opens.front().due_at <= now) {
        auto pending = std::move(state.opens.front());
        state.opens.pop_front();
        reopen(state, view, std::move(pending), now, due);
    }
    while (!state.answers.empty() && state.answers.front().due_at <= now) {
        const auto pending = state.answers.front();
        state.answers.pop_front();
        const auto* entry = waiting_entry(state, pending);
        if (entry == nullptr) {
            continue;
        }
        if (note_silence(health_of(state, entry->tag), pending.sent_at, now)) {
            add_probe(view, entry->tag, due);
        }
        if (state.overdue.size() < max_pending) {
            state.overdue.push_back({.flow = pending.flow,
                                     .sent_at = pending.sent_at,
                                     .due_at = pending.sent_at + overdue_after});
        }
    }
    while (!state.overdue.empty() && state.overdue.front().due_at <= now) {
        const auto pending = state.overdue.front();
        state.overdue.pop_front();
        const auto* entry = waiting_entry(state, pending);
        const bool overdue = entry != nullptr && is_path_clear(state, now);
        if (overdue && count_overdue(state, entry->tag, pending.sent_at, now)) {
            due.notes.push_back(
                {.kind = host_note_kind::overdue, .tag = entry->tag, .age_ms = age_ms(pending.sent_at, now)});
        }
    }
    while (!state.stall_checks.empty() && state.stall_checks.front().due_at <= now) {
        const auto tag = state.stall_checks.front().tag;
        state.stall_checks.pop_front();
        if (auto& health = health_of(state, tag); is_stalled(health, now) && is_path_clear(state, now)) {
            note_stalled(health, trial_delay(state, tag), now);
            due.stalled.push_back(tag);
        }
    }
    return due;
}

note_effect receive_note(director_state& state, const fleet_view& view, const host_note& note,
                         mono_time now) {
    const auto* known = view.upstreams == nullptr ? nullptr : find_by_tag(*view.upstreams, note.tag);
    if (known == nullptr) {
        return {};
    }
    auto& health = health_of(state, note.tag);
    const auto at = now - std::chrono::milliseconds{note.age_ms};
    switch (note.kind) {
        case host_note_kind::overdue:
            if (count_overdue(state, note.tag, at, now)) {
                return {};
            }
            return {.reply = host_note{.kind = host_note_kind::answered,
                                       .tag = note.tag,
                                       .age_ms = age_ms(health.last_answer, now)}};
        case host_note_kind::answered:
            note_answer_elsewhere(health, at);
            return {.pass_on =
                        host_note{.kind = host_note_kind::cleared, .tag = note.tag, .age_ms = note.age_ms}};
        case host_note_kind::cleared:
            note_answer_elsewhere(health, at);
            return {};
        case host_note_kind::unreachable:
            return suspect_with_peer(state, *known, note.tag, now);
        case host_note_kind::trial:
            note_trial(health, now);
            return {};
    }
    return {};
}

std::vector<flow_reset> take_flows_of(director_state& state, steering_tag tag) {
    std::vector<flow_reset> taken;
    for (const auto& [flow, entry] : state.flows.flows) {
        if (entry.tag == tag && entry.established) {
            taken.push_back({.flow = flow, .sequence = entry.last_acknowledged});
        }
    }
    for (const auto& reset : taken) {
        remove_flow(state.flows, reset.flow);
    }
    return taken;
}

host_health& health_of(director_state& state, steering_tag tag) {
    return state.health[static_cast<std::uint32_t>(tag)];
}

const known_upstream* reference_for(const director_state& state, const fleet_view& view, steering_tag suspect,
                                    mono_time now) {
    const known_upstream* best = nullptr;
    auto best_progress = now - reference_validity;
    for (const auto& [tag, health] : state.health) {
        if (steering_tag{tag} == suspect || health.unreachable || health.last_progress < best_progress) {
            continue;
        }
        const auto* known = find_by_tag(*view.upstreams, steering_tag{tag});
        if (known != nullptr && known->listed) {
            best = known;
            best_progress = health.last_progress;
        }
    }
    return best;
}

std::vector<steering_tag> due_probes(const director_state& state, const fleet_view& view, mono_time now) {
    std::vector<steering_tag> due;
    if (view.upstreams == nullptr) {
        return due;
    }
    for (const auto& [tag, health] : state.health) {
        const auto* known = find_by_tag(*view.upstreams, steering_tag{tag});
        if (known != nullptr && known->listed && is_probe_due(health, now)) {
            due.push_back(steering_tag{tag});
        }
    }
    return due;
}

void forget_old(director_state& state, const fleet_view& view, mono_time now) {
    const bool configured = view.routes != nullptr && view.routes->idle_timeout_ms > 0;
    const auto idle_timeout =
        configured ? std::chrono::milliseconds{view.routes->idle_timeout_ms} : default_idle_timeout;
    expire_flows(state.flows, now - idle_timeout);
    std::erase_if(state.unexplained_tags,
                  [now](const auto& item) { return now - item.second > keep_unexplained_tag; });
    if (view.upstreams != nullptr) {
        std::erase_if(state.health, [&view](const auto& item) {
            return find_by_tag(*view.upstreams, steering_tag{item.first}) == nullptr;
        });
    }
}

}  // namespace guavaramp
