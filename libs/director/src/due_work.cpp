#include "shared_decisions.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/director/choice.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// How long ago an upstream may have answered to serve as a probe's reference.
constexpr auto reference_validity = std::chrono::milliseconds{1000};
/// A living host answers an opening packet within a round trip, at most 10 ms between failure domains; the
/// rest is for its processor.
constexpr auto open_answer_time = std::chrono::milliseconds{40};
/// Hosts that one opening packet is sent to before the caller's own copy.
constexpr std::uint32_t most_hosts_tried = 3;
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

/// Whether answers of hosts reach this director in time.
bool is_path_clear(const director_state& state, mono_time now) noexcept {
    return now - state.last_answer <= clear_path_answer_age && state.recent_answer_ms <= clear_path_answer_ms;
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

std::chrono::milliseconds trial_delay(const director_state& state, steering_tag tag) noexcept {
    const auto hash = mix_hashes(state.seed, static_cast<std::uint32_t>(tag));
    return std::chrono::milliseconds{hash % static_cast<std::uint64_t>(trial_spread.count())};
}

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

}  // namespace guavaramp
