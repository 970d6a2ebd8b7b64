#include "director_internal.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/director/upstream_choice.hpp>

#include <algorithm>
#include <iterator>

namespace guavaramp {
namespace {

/// Longest time since the last progress of an upstream that serves as the reference of a probe.
constexpr auto reference_validity = std::chrono::milliseconds{1000};
/// Limit of the hosts that an opening packet is sent to, one after the other, while its flow is not open.
constexpr std::uint32_t max_hosts_tried = 3;
/// A request that has waited this long, while its host answered no flow, is overdue.
constexpr auto overdue_timeout = std::chrono::milliseconds{400};
/// Time that other directors get to object because the host answers them: ten round trips inside a failure
/// domain.
constexpr auto objection_timeout = std::chrono::milliseconds{50};
/// A missing answer is the host's fault only if the last answer of any host is at most this old and the
/// moving average of all hosts' answer times is at most this long. Otherwise callers' packets are waiting at
/// this machine's own link or processor. The average may be half of `overdue_timeout`.
constexpr auto max_clear_path_answer_age = std::chrono::milliseconds{250};
constexpr double max_clear_path_answer_ms = 200.0;

/// Returns whether the acknowledgements of hosts' answers reach this director in time.
bool is_path_clear(const director_state& state, mono_time now) noexcept {
    return now - state.last_answer_at <= max_clear_path_answer_age &&
           state.recent_answer_ms <= max_clear_path_answer_ms;
}

/// Returns the entry of a flow that still waits for the answer to its opening packet, or null if the packet
/// was answered or the flow was removed.
flow_entry* entry_awaiting_open(director_state& state, const pending_open& pending) noexcept {
    auto* entry = find_flow(state.flows, pending.flow);
    const bool is_waiting =
        entry != nullptr && !entry->established && entry->opening_sequence == pending.sequence;
    return is_waiting ? entry : nullptr;
}

/// Returns the entry of a flow that still waits for the answer to the request `pending`, or null if the
/// request was answered or the flow was removed.
const flow_entry* entry_awaiting_answer(director_state& state, const pending_request& pending) noexcept {
    const auto* entry = find_flow(state.flows, pending.flow);
    return entry != nullptr && entry->unanswered_since == pending.sent_at ? entry : nullptr;
}

/// Returns the evidence that the host with `tag` has stalled. To be called before `record_stall`, which
/// clears it.
stall_evidence evidence_of(const host_health& health, steering_tag tag) noexcept {
    return {.tag = tag,
            .overdue_requests = health.overdue_requests,
            .unanswered_since = health.first_overdue_sent_at,
            .last_answer_at = health.last_answer_at,
            .mean_answer_ms = health.answer_time_ms};
}

void add_probe(const fleet_view& view, steering_tag tag, timeout_actions& actions) {
    const auto* suspect = view.upstreams == nullptr ? nullptr : find_by_tag(*view.upstreams, tag);
    if (suspect != nullptr) {
        actions.probes.push_back(suspect);
    }
}

/// Adds another transmission of an unanswered opening packet to `actions`: to the same host up to
/// `max_opening_repetitions` times, and to another host when the last one is unreachable. Checks again after
/// `open_timeout` until `max_hosts_tried` is reached or the caller has given up.
void retry_open(director_state& state, const fleet_view& view, pending_open pending, mono_time now,
                timeout_actions& actions) {
    auto* entry = entry_awaiting_open(state, pending);
    const auto* matched = view.routes == nullptr ? nullptr : find_route(*view.routes, pending.flow);
    if (entry == nullptr || matched == nullptr || view.upstreams == nullptr || now >= pending.expires_at) {
        return;
    }
    const bool may_move = may_move_open(state, view, *entry, now);
    if (!may_move && !takes_new_flows(*view.upstreams, entry->tag)) {
        return;
    }
    if (may_move || entry->opening_repetitions < max_opening_repetitions) {
        const auto* chosen = may_move
                                 ? choose_upstream_for(state, view, *matched, pending.flow, entry->tag, now)
                                 : find_by_tag(*view.upstreams, entry->tag);
        const bool is_same = chosen != nullptr && tag_of(chosen->report.delivery_id) == entry->tag;
        if (chosen == nullptr || (may_move && is_same)) {
            return;
        }
        if (const auto* probe_target = move_unanswered_open(state, view, *entry, *chosen, now)) {
            actions.probes.push_back(probe_target);
        }
        actions.retried_opens.push_back(
            {.flow = pending.flow,
             .target = chosen,
             .tag = entry->tag,
             .reason = is_same ? decision_reason::placed_again : decision_reason::placed_elsewhere,
             .packet = pending.packet});
        pending.hosts_tried += is_same ? 0 : 1;
    }
    if (pending.hosts_tried < max_hosts_tried) {
        pending.due_at = now + open_timeout;
        state.pending_opens.push_back(std::move(pending));
    }
}

/// Records an overdue request. If the host is on trial, records the next stall at once. Otherwise, from
/// `min_overdue_requests_of_stall` overdue requests on, schedules a stall check for the time when other
/// directors have had `objection_timeout` to object. Returns whether the request counts, see
/// `record_overdue_request`.
bool count_overdue(director_state& state, steering_tag tag, mono_time sent_at, mono_time now) {
    auto& health = health_of(state, tag);
    if (!record_overdue_request(health, sent_at, now)) {
        return false;
    }
    if (is_half_open(health, now)) {
        // The trial has failed. No flow is reset, because one overdue request does not tell a stalled host
        // from a slow one.
        record_stall(health, trial_jitter(state, tag), now);
        return true;
    }
    if (health.overdue_requests >= min_overdue_requests_of_stall && state.stall_checks.size() < max_pending) {
        state.stall_checks.push_back({.tag = tag, .due_at = now + objection_timeout});
    }
    return true;
}

/// Returns the time at which the flows of a host that has answered no request since `unanswered_since` may be
/// reset. By then every request that was sent to it before `unanswered_since` has passed its time limit.
mono_time stall_reset_due_at(const fleet_view& view, steering_tag tag, mono_time unanswered_since) {
    const auto* known = find_by_tag(*view.upstreams, tag);
    const auto time_limit = known == nullptr || view.routes == nullptr
                                ? default_time_limit
                                : time_limit_of_service(*view.routes, known->report.service);
    return unanswered_since + std::max<mono_time::duration>(time_limit, min_stall_time);
}

/// Returns whether the flows of a host that has stalled may be reset. Only the directors of the host's own
/// failure domain may: they see most of its flows together and are asked for objections. The few flows from
/// elsewhere may all be ones that the host has reset, which a director does not see.
bool may_reset_after_stall(const director_state& state, const fleet_view& view, steering_tag tag) {
    const auto* stalled = view.upstreams == nullptr ? nullptr : find_by_tag(*view.upstreams, tag);
    return state.mechanisms.is_enabled(mechanism::stall_reset) && stalled != nullptr &&
           stalled->report.failure_domain == view.own_failure_domain;
}

void schedule_stall_reset(director_state& state, const fleet_view& view, const stall_evidence& evidence) {
    auto& pending = state.pending_stall_resets;
    const bool is_scheduled = std::ranges::any_of(pending, [&evidence](const pending_stall_reset& other) {
        return other.evidence.tag == evidence.tag &&
               evidence.last_answer_at <= other.evidence.unanswered_since;
    });
    if (is_scheduled) {
        return;
    }
    std::erase_if(pending, [&evidence](const pending_stall_reset& other) {
        return other.evidence.tag == evidence.tag;
    });
    pending.push_back(
        {.evidence = evidence, .due_at = stall_reset_due_at(view, evidence.tag, evidence.unanswered_since)});
}

/// Handles a pending reset that is due. Returns whether it is done. First asks the other directors for
/// objections, as an overdue request does; if the host has answered none of them either, adds it to
/// `actions.unresponsive`.
bool handle_stall_reset(director_state& state, const fleet_view& view, pending_stall_reset& pending,
                        mono_time now, timeout_actions& actions) {
    const auto& evidence = pending.evidence;
    const bool is_answered = health_of(state, evidence.tag).last_answer_at > evidence.unanswered_since;
    if (is_answered || load_of(state.flows, evidence.tag).open_flows == 0) {
        return true;
    }
    const auto due_at = stall_reset_due_at(view, evidence.tag, evidence.unanswered_since);
    if (due_at > now) {  // a newer configuration has raised the time limit
        pending.due_at = due_at;
        pending.asked_for_objections = false;
        return false;
    }
    if (!is_path_clear(state, now)) {
        pending.due_at = now + objection_timeout;
        pending.asked_for_objections = false;
        return false;
    }
    if (pending.asked_for_objections) {
        actions.unresponsive.push_back(evidence);
        return true;
    }
    actions.observations.push_back({.kind = host_observation_kind::overdue,
                                    .tag = evidence.tag,
                                    .age_ms = age_ms(evidence.unanswered_since, now)});
    pending.due_at = now + objection_timeout;
    pending.asked_for_objections = true;
    return false;
}

void handle_stall_resets(director_state& state, const fleet_view& view, mono_time now,
                         timeout_actions& actions) {
    std::vector<pending_stall_reset> still_pending;
    for (auto& pending : state.pending_stall_resets) {
        if (pending.due_at > now || !handle_stall_reset(state, view, pending, now, actions)) {
            still_pending.push_back(pending);
        }
    }
    state.pending_stall_resets = std::move(still_pending);
}

/// Handles the observation that another director's probe of `suspect` failed. The host is probed from here if
/// flows to it are open at this director; otherwise new flows avoid it for a while.
observation_effect handle_unreachable_observation(director_state& state, const known_upstream& suspect,
                                                  steering_tag tag, mono_time now) {
    auto& health = health_of(state, tag);
    if (health.last_probe_failed || health.probing) {
        return {};
    }
    if (load_of(state.flows, tag).open_flows > 0) {
        return {.probe_target = &suspect};
    }
    health.avoid_until = std::max(health.avoid_until, now + unreachable_validity);
    return {};
}

}  // namespace

std::chrono::milliseconds trial_jitter(const director_state& state, steering_tag tag) noexcept {
    const auto hash = mix_hashes(state.seed, static_cast<std::uint32_t>(tag));
    return std::chrono::milliseconds{hash % static_cast<std::uint64_t>(max_trial_jitter.count())};
}

mono_time::duration suspicion_timeout_of(const director_state& state, const route* matched,
                                         const std::string& service) noexcept {
    const auto load = state.service_loads.find(service);
    if (matched == nullptr || matched->objective <= std::chrono::milliseconds{0} ||
        load == state.service_loads.end()) {
        return min_suspicion_timeout;
    }
    const double objective_share =
        std::min(suspicious_answer_multiple * load->second.objective_share, max_suspicion_objective_share);
    const auto timeout =
        std::chrono::duration_cast<mono_time::duration>(objective_share * matched->objective);
    return std::clamp<mono_time::duration>(timeout, min_suspicion_timeout, max_suspicion_timeout);
}

void insert_by_due_time(std::deque<pending_request>& queue, const pending_request& request) {
    auto position = queue.end();
    while (position != queue.begin() && std::prev(position)->due_at > request.due_at) {
        --position;
    }
    queue.insert(position, request);
}

const known_upstream* choose_upstream_for(const director_state& state, const fleet_view& view,
                                          const route& matched, const flow_tuple& flow,
                                          steering_tag last_resort, mono_time now) {
    const auto hash = hash_of(flow);
    for (const auto* service : services_in_order(matched, hash)) {
        if (const auto* chosen =
                choose_upstream(state, view, *service, hash, last_resort, now, matched.priority)) {
            return chosen;
        }
    }
    return nullptr;
}

bool may_move_open(const director_state& state, const fleet_view& view, const flow_entry& entry,
                   mono_time now) noexcept {
    const bool is_replaced = view.upstreams->replaced_tags.contains(static_cast<std::uint32_t>(entry.tag));
    if (is_replaced || find_by_tag(*view.upstreams, entry.tag) == nullptr) {
        return true;
    }
    const auto found = state.health.find(static_cast<std::uint32_t>(entry.tag));
    if (found == state.health.end()) {
        return false;
    }
    const auto& health = found->second;
    const bool is_probe_unanswered = health.probing && now >= health.probe_started_at + open_timeout &&
                                     health.last_progress_at < health.probe_started_at;
    return health.last_probe_failed ||
           (is_probe_unanswered && state.last_answer_at > health.probe_started_at);
}

const known_upstream* move_unanswered_open(director_state& state, const fleet_view& view, flow_entry& entry,
                                           const known_upstream& chosen, mono_time now) {
    auto& health = health_of(state, entry.tag);
    const auto* silent = find_by_tag(*view.upstreams, entry.tag);
    const bool needs_probe =
        should_probe_after_silence(health, entry.unanswered_since, now) && silent != nullptr;
    if (state.mechanisms.is_enabled(mechanism::silent_host_avoidance)) {
        health.avoid_until = now + avoidance_after_silence;
    }
    const auto tag = tag_of(chosen.report.delivery_id);
    record_cold_opening(state.cold_hosts, *view.upstreams, chosen, now);
    ++entry.opening_repetitions;
    if (tag != entry.tag) {
        retag_flow(state.flows, entry, tag);
        entry.opening_repetitions = 0;
    }
    set_unanswered_since(state.flows, entry, now);
    return needs_probe ? silent : nullptr;
}

void add_pending_open(director_state& state, const flow_packet& packet, std::span<const std::byte> bytes,
                      mono_time now) {
    if (state.mechanisms.is_enabled(mechanism::open_retry) && state.pending_opens.size() < max_pending) {
        state.pending_opens.push_back({.flow = packet.flow,
                                       .sequence = packet.sequence,
                                       .due_at = now + open_timeout,
                                       .expires_at = now + caller_open_timeout,
                                       .packet = {bytes.begin(), bytes.end()}});
    }
}

mono_time next_timeout_at(director_state& state, mono_time otherwise) {
    while (!state.pending_opens.empty() &&
           entry_awaiting_open(state, state.pending_opens.front()) == nullptr) {
        state.pending_opens.pop_front();
    }
    for (auto* queue : {&state.pending_requests, &state.slow_requests}) {
        while (!queue->empty() && entry_awaiting_answer(state, queue->front()) == nullptr) {
            queue->pop_front();
        }
    }
    if (!state.pending_opens.empty()) {
        otherwise = std::min(otherwise, state.pending_opens.front().due_at);
    }
    for (const auto* queue : {&state.pending_requests, &state.slow_requests}) {
        if (!queue->empty()) {
            otherwise = std::min(otherwise, queue->front().due_at);
        }
    }
    if (!state.stall_checks.empty()) {
        otherwise = std::min(otherwise, state.stall_checks.front().due_at);
    }
    for (const auto& pending : state.pending_stall_resets) {
        otherwise = std::min(otherwise, pending.due_at);
    }
    return otherwise;
}

timeout_actions handle_timeouts(director_state& state, const fleet_view& view, mono_time now) {
    timeout_actions actions;
    while (!state.pending_opens.empty() && state.pending_opens.front().due_at <= now) {
        auto pending = std::move(state.pending_opens.front());
        state.pending_opens.pop_front();
        retry_open(state, view, std::move(pending), now, actions);
    }
    while (!state.pending_requests.empty() && state.pending_requests.front().due_at <= now) {
        const auto pending = state.pending_requests.front();
        state.pending_requests.pop_front();
        const auto* entry = entry_awaiting_answer(state, pending);
        if (entry == nullptr) {
            continue;
        }
        if (should_probe_after_slow_request(health_of(state, entry->tag), pending.sent_at, now)) {
            add_probe(view, entry->tag, actions);
        }
        if (state.slow_requests.size() < max_pending) {
            insert_by_due_time(state.slow_requests, {.flow = pending.flow,
                                                     .sent_at = pending.sent_at,
                                                     .due_at = pending.sent_at + overdue_timeout});
        }
    }
    while (!state.slow_requests.empty() && state.slow_requests.front().due_at <= now) {
        const auto pending = state.slow_requests.front();
        state.slow_requests.pop_front();
        const auto* entry = entry_awaiting_answer(state, pending);
        const bool is_overdue = entry != nullptr && is_path_clear(state, now);
        if (is_overdue && count_overdue(state, entry->tag, pending.sent_at, now)) {
            actions.observations.push_back({.kind = host_observation_kind::overdue,
                                            .tag = entry->tag,
                                            .age_ms = age_ms(pending.sent_at, now)});
        }
    }
    while (!state.stall_checks.empty() && state.stall_checks.front().due_at <= now) {
        const auto tag = state.stall_checks.front().tag;
        state.stall_checks.pop_front();
        if (auto& health = health_of(state, tag); is_stalled(health, now) && is_path_clear(state, now)) {
            const auto evidence = evidence_of(health, tag);
            record_stall(health, trial_jitter(state, tag), now);
            actions.stalled.push_back(evidence);
            if (may_reset_after_stall(state, view, tag)) {
                schedule_stall_reset(state, view, evidence);
            }
        }
    }
    handle_stall_resets(state, view, now, actions);
    return actions;
}

observation_effect handle_observation(director_state& state, const fleet_view& view,
                                      const host_observation& observation, mono_time now) {
    const auto* known = view.upstreams == nullptr ? nullptr : find_by_tag(*view.upstreams, observation.tag);
    if (known == nullptr) {
        return {};
    }
    auto& health = health_of(state, observation.tag);
    const auto occurred_at = now - std::chrono::milliseconds{observation.age_ms};
    switch (observation.kind) {
        case host_observation_kind::overdue:
            if (count_overdue(state, observation.tag, occurred_at, now)) {
                return {};
            }
            return {.reply = host_observation{.kind = host_observation_kind::answered,
                                              .tag = observation.tag,
                                              .age_ms = age_ms(health.last_answer_at, now)}};
        case host_observation_kind::answered:
            record_remote_answer(health, occurred_at);
            return {.forward = host_observation{.kind = host_observation_kind::cleared,
                                                .tag = observation.tag,
                                                .age_ms = observation.age_ms}};
        case host_observation_kind::cleared:
            record_remote_answer(health, occurred_at);
            return {};
        case host_observation_kind::unreachable:
            return handle_unreachable_observation(state, *known, observation.tag, now);
        case host_observation_kind::trial:
            record_trial(health, now);
            return {};
    }
    return {};
}

std::chrono::milliseconds refusal_interval_of(const fleet_view& view,
                                              const known_upstream& upstream) noexcept {
    if (!upstream.listed || view.routes == nullptr) {
        return draining_refusal_interval;
    }
    return std::max(draining_refusal_interval, time_limit_of_service(*view.routes, upstream.report.service));
}

std::vector<flow_reset> remove_flows_of(director_state& state, steering_tag tag) {
    std::vector<flow_reset> resets;
    for (const auto& [flow, entry] : state.flows.flows) {
        if (entry.tag == tag && entry.established) {
            resets.push_back({.flow = flow, .sequence = entry.last_acknowledged});
        }
    }
    for (const auto& reset : resets) {
        remove_flow(state.flows, reset.flow);
    }
    return resets;
}

const known_upstream* find_reference_upstream(const director_state& state, const fleet_view& view,
                                              steering_tag suspect, mono_time now) {
    const known_upstream* best = nullptr;
    if (view.upstreams == nullptr || !state.mechanisms.is_enabled(mechanism::probe_reference)) {
        return best;
    }
    auto best_progress_at = now - reference_validity;
    for (const auto& [tag, health] : state.health) {
        if (steering_tag{tag} == suspect || health.last_probe_failed ||
            health.last_progress_at < best_progress_at) {
            continue;
        }
        const auto* known = find_by_tag(*view.upstreams, steering_tag{tag});
        if (known != nullptr && known->listed) {
            best = known;
            best_progress_at = health.last_progress_at;
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
