#include "director_internal.hpp"

#include <guavaramp/director/store_sync.hpp>
#include <guavaramp/director/upstream_choice.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace guavaramp {
namespace {

/// A host that was removed from the listing may still finish its answers. Its flows are reset once none of
/// them has shown progress for this long, which is five times the time to a caller's first retransmission.
constexpr auto unlisted_progress_grace = std::chrono::milliseconds{1000};
/// Callers retransmit unanswered data after 200 ms. Data that arrives again within this time was reordered on
/// its way and is no retransmission.
constexpr auto min_retransmission_time = std::chrono::milliseconds{150};
/// Weight of the newest answer in the moving average over all hosts: about the last five answers count.
constexpr double newest_answer_weight = 0.2;
/// Idle time after which a flow is removed from the flow cache if the configuration sets no idle timeout.
constexpr auto default_idle_timeout = std::chrono::milliseconds{15000};
/// Limit of the flows with an unknown tag that are stored. Packets of further ones are dropped as
/// `unknown_tag_unconfirmed` until there is room.
constexpr std::size_t max_flows_with_unknown_tag = 4096;
/// How long a flow with an unknown tag is stored after it was first seen.
constexpr auto unknown_tag_retention = std::chrono::seconds{30};

/// A flow is reset because its upstream is missing only if the listing was verified within this time. While a
/// director relies on readers, the last verification is more recent, see `verification_validity`.
constexpr auto max_listing_age_for_reset = std::chrono::milliseconds{4000};

constexpr std::array<std::string_view, decision_reason_count> reason_names{
    "placed",           "placed_again",
    "placed_elsewhere", "known_flow",
    "tagged_flow",      "no_configuration",
    "no_route",         "no_route_unconfirmed",
    "no_listing",       "no_upstream",
    "overloaded",       "untagged",
    "unknown_tag",      "unknown_tag_unconfirmed",
    "upstream_gone",    "upstream_unreachable",
    "upstream_stalled"};

decision drop(decision_reason reason) { return {.outcome = verdict::drop, .reason = reason}; }

/// Returns a decision to reset the flow, or to drop the packet if it is an RST itself: two ends that answer
/// every RST with an RST would never stop.
decision reset(const flow_packet& packet, decision_reason reason, const known_upstream* target = nullptr) {
    return {.outcome = packet.is_rst ? verdict::drop : verdict::reset, .reason = reason, .target = target};
}

decision forward(const known_upstream& target, steering_tag tag, decision_reason reason) {
    return {.outcome = verdict::forward, .reason = reason, .target = &target, .tag = tag};
}

/// Returns whether `later` comes after `earlier` in sequence space, which wraps (RFC 9293 section 3.4).
bool is_after(std::uint32_t later, std::uint32_t earlier) noexcept {
    return static_cast<std::int32_t>(later - earlier) > 0;
}

decision decide_opening_without_route(const fleet_view& view, const flow_packet& packet, mono_time now) {
    // A route that was added a moment ago may not have arrived here yet. Dropping the packet makes the caller
    // retransmit it, and the retransmission may find the route.
    if (now >= view.routes_fresh_until) {
        return drop(decision_reason::no_route_unconfirmed);
    }
    return reset(packet, decision_reason::no_route);
}

/// Records that a new flow was placed on the upstream with `tag`. If the flow is a trial of a host that has
/// stalled, returns the observation that tells the other directors so.
std::optional<host_observation> record_placement(director_state& state, steering_tag tag, mono_time now) {
    auto& health = health_of(state, tag);
    const bool needs_trial = state.mechanisms.is_enabled(mechanism::stall_trial) && is_half_open(health, now);
    if (!needs_trial || is_avoided(health, now)) {
        return std::nullopt;
    }
    record_trial(health, now);
    return host_observation{.kind = host_observation_kind::trial, .tag = tag};
}

/// Returns whether a new flow of the route `matched` is admitted to `service`. A retransmitted opening
/// packet, or a duplicate of one whose flow is known, is admitted always: the flow may be open at a host.
bool admits_new_flow(director_state& state, const fleet_view& view, const route& matched,
                     const flow_packet& packet, const std::string& service, mono_time now) {
    const auto route_key = std::uint64_t{matched.address} << 16U | matched.port;
    const bool opens_many = record_arrival(state.arrivals_by_route[route_key], now);
    const auto use = use_of_service(state, view, service);
    const bool has_room =
        admits_flow(state.service_loads[service], matched.priority, use.waiting_requests, now);
    const bool is_first_transmission =
        packet.acknowledgement == 0 && find_flow(state.flows, packet.flow) == nullptr;
    const bool may_refuse =
        opens_many && is_first_transmission && state.mechanisms.is_enabled(mechanism::flow_admission);
    return has_room || !may_refuse;
}

/// Records the answer that `decided` shows, for the admission of new flows.
void record_answer_for_admission(director_state& state, const fleet_view& view, const route& matched,
                                 const decision& decided, mono_time now) {
    const bool shows_answer = decided.answered_request_sent_at != mono_time{} &&
                              decided.answered_request_sent_at >= state.load_observed_since;
    if (!shows_answer || state.known_directors == 0) {
        return;
    }
    const auto& service = decided.target->report.service;
    const auto use = use_of_service(state, view, service);
    record_service_answer(state.service_loads[service], now - decided.answered_request_sent_at,
                          matched.objective, use.waiting_requests, use.slots, now);
}

/// Records the answer that `decided` shows, for the placement of new flows.
void record_answer_for_placement(director_state& state, const fleet_view& view, const route& matched,
                                 const decision& decided, mono_time now) {
    if (decided.answered_request_sent_at == mono_time{} ||
        decided.answered_request_sent_at < state.load_observed_since) {
        return;
    }
    record_placement_answer(state, view, *decided.target, matched.priority,
                            now - decided.answered_request_sent_at, now);
}

/// Decides a retransmission of the opening packet of a flow that `entry` holds.
decision decide_opening_copy(director_state& state, const fleet_view& view, const route& matched,
                             const flow_packet& packet, flow_entry& entry, mono_time now) {
    const bool takes_copies = takes_new_flows(*view.upstreams, entry.tag);
    // The caller's second copy shows that neither the host's answers to all transmissions nor its own
    // repetition after 200 ms have arrived. A probe does not show a host at its limit of flows.
    const bool has_waited_long = packet.acknowledgement >= min_caller_copies_to_move &&
                                 (entry.opening_repetitions >= max_opening_repetitions || !takes_copies);
    const bool may_move = has_waited_long || may_move_open(state, view, entry, now);
    const auto* other = may_move || !takes_copies
                            ? choose_upstream_for(state, view, matched, packet.flow, entry.tag, now)
                            : nullptr;
    if (!may_move && !takes_copies && other != nullptr) {
        // The host may hold the flow, and then repeats its answer without this copy.
        auto dropped = drop(decision_reason::no_upstream);
        dropped.target = find_by_tag(*view.upstreams, entry.tag);
        return dropped;
    }
    if (!may_move && takes_copies && now - entry.unanswered_since < open_timeout) {
        // The copy waited here together with the packet that it repeats, because this director did not run
        // for a while. It shows nothing about the host.
        if (const auto* target = find_by_tag(*view.upstreams, entry.tag)) {
            return forward(*target, entry.tag, decision_reason::placed_again);
        }
    }
    const auto* chosen = takes_copies && !may_move ? find_by_tag(*view.upstreams, entry.tag) : other;
    if (chosen == nullptr) {
        remove_flow(state.flows, packet.flow);
        return reset(packet, decision_reason::no_upstream);
    }
    const auto tag = tag_of(chosen->report.delivery_id);
    const bool is_moved = tag != entry.tag;
    entry.last_seen_at = now;
    const auto* probe_target = move_unanswered_open(state, view, entry, *chosen, now);
    auto decided =
        forward(*chosen, tag, is_moved ? decision_reason::placed_elsewhere : decision_reason::placed_again);
    decided.probe_target = probe_target;
    return decided;
}

decision decide_opening_packet(director_state& state, const fleet_view& view, const route& matched,
                               const flow_packet& packet, mono_time now) {
    if (view.upstreams == nullptr) {
        return drop(decision_reason::no_listing);
    }
    auto* entry = find_flow(state.flows, packet.flow);
    if (entry != nullptr && entry->opening_sequence == packet.sequence) {
        if (entry->established) {
            // The caller sent the copy before it had the host's answer. The flow is open and needs no other
            // host.
            const auto* target = find_by_tag(*view.upstreams, entry->tag);
            return takes_new_flows(*view.upstreams, entry->tag)
                       ? forward(*target, entry->tag, decision_reason::placed_again)
                       : drop(decision_reason::known_flow);
        }
        return decide_opening_copy(state, view, matched, packet, *entry, now);
    }
    const auto* chosen = choose_upstream_for(state, view, matched, packet.flow, no_tag, now);
    if (chosen == nullptr) {
        remove_flow(state.flows, packet.flow);
        return reset(packet, decision_reason::no_upstream);
    }
    update_utilisation(state, view, chosen->report.service);
    record_placement_opening(state, view, chosen->report.service, matched.priority, now);
    if (!admits_new_flow(state, view, matched, packet, chosen->report.service, now)) {
        return reset(packet, decision_reason::overloaded);
    }
    const auto tag = tag_of(chosen->report.delivery_id);
    add_flow(state.flows, packet.flow,
             {.tag = tag,
              .opening_sequence = packet.sequence,
              .sent_end_sequence = packet.sequence + 1,
              .first_seen_at = now,
              .last_seen_at = now,
              .unanswered_since = now});
    auto decided = forward(*chosen, tag, decision_reason::placed);
    decided.observation = record_placement(state, tag, now);
    record_cold_opening(state.cold_hosts, *view.upstreams, *chosen, now);
    return decided;
}

/// Ends a flow that is reset, and keeps its entry with the time of the first packet: a caller that does not
/// get the reset is reset again at its next packet.
void end_flow(flow_cache& flows, flow_entry& entry) {
    set_unanswered_since(flows, entry, mono_time{});
    close_flow(flows, entry);
}

/// Returns the time from which an absence from the listing since `absent_since` is final, or
/// `mono_time::max()` while the store does not answer. After the store has returned, hosts take up to
/// `max_relisting_time` to be listed again.
mono_time absence_confirmed_at(const fleet_view& view, mono_time absent_since) noexcept {
    return view.store_available_since == mono_time::max()
               ? view.store_available_since
               : std::max(absent_since, view.store_available_since) + max_relisting_time;
}

/// Returns whether `upstream` has left for good, as seen from a flow whose first packet here came at
/// `flow_first_seen_at`. A director that has missed later changes of the listing cannot tell: the upstream
/// may have returned, and the flow may have been opened after that.
bool is_gone(const fleet_view& view, const known_upstream& upstream, mono_time flow_first_seen_at,
             mono_time now) noexcept {
    return !upstream.listed && now >= absence_confirmed_at(view, upstream.unlisted_at) &&
           view.listing_verified_at > flow_first_seen_at &&
           now - view.listing_verified_at <= max_listing_age_for_reset;
}

/// Decides a packet with a tag of no known upstream. The packet is dropped, and not reset, until a listing
/// that is newer than the flow's first packet confirms it: the flow's upstream may have been listed after the
/// last read of the store.
decision decide_unknown_tag(director_state& state, const fleet_view& view, const flow_packet& packet,
                            mono_time now) {
    auto& flows = state.flows_with_unknown_tag;
    if (flows.size() >= max_flows_with_unknown_tag && !flows.contains(packet.flow)) {
        return drop(decision_reason::unknown_tag_unconfirmed);
    }
    const auto first_seen_at = flows.try_emplace(packet.flow, now).first->second;
    const bool is_confirmed =
        view.listing_as_of > first_seen_at && now >= absence_confirmed_at(view, view.store_available_since);
    if (!is_confirmed) {
        return drop(decision_reason::unknown_tag_unconfirmed);
    }
    return reset(packet, decision_reason::unknown_tag);
}

/// Returns the entry of an established flow, and creates it from the packet's tag if there is none. Returns
/// null if the flow cache is full.
flow_entry* ensure_established_entry(director_state& state, const flow_packet& packet, mono_time now) {
    auto* entry = find_flow(state.flows, packet.flow);
    if (entry == nullptr) {
        return add_flow(state.flows, packet.flow,
                        {.tag = packet.tag,
                         .last_acknowledged = packet.acknowledgement,
                         .sent_end_sequence = packet.sequence,
                         .first_seen_at = now,
                         .last_seen_at = now,
                         .established = true});
    }
    if (!entry->established) {
        // The first packet after the opening one carries the tag of the host whose answer the caller has
        // accepted. Later packets may carry the tag of a second host that answered the opening packet too.
        if (packet.tag != no_tag && packet.tag != entry->tag) {
            retag_flow(state.flows, *entry, packet.tag);
        }
        entry->established = true;
        entry->last_acknowledged = packet.acknowledgement;
        set_unanswered_since(state.flows, *entry, mono_time{});
        record_progress(health_of(state, entry->tag), now);
        record_open_answer(state.hedging, packet.flow, entry->tag, now);
    }
    return entry;
}

/// Records the answer to a request that was sent at `sent_at`, to measure this director's path to all hosts.
void record_path_answer(director_state& state, mono_time sent_at, mono_time now) noexcept {
    const double answer_ms = std::chrono::duration<double, std::milli>(now - sent_at).count();
    const bool is_first = state.last_answer_at == mono_time{};
    state.recent_answer_ms += (answer_ms - state.recent_answer_ms) * (is_first ? 1.0 : newest_answer_weight);
    state.last_answer_at = now;
}

/// Updates the flow's entry and its host's health from a packet of an established flow. A request without an
/// answer makes the host suspect after `suspicion_timeout`. Returns whether the upstream should be probed.
bool observe_packet(director_state& state, flow_entry& entry, const flow_packet& packet,
                    mono_time::duration suspicion_timeout, mono_time now) {
    auto& health = health_of(state, entry.tag);
    entry.last_seen_at = now;
    if (is_after(packet.acknowledgement, entry.last_acknowledged)) {
        entry.last_acknowledged = packet.acknowledgement;
        if (entry.unanswered_since != mono_time{}) {
            record_answer(health, entry.unanswered_since, now);
            record_path_answer(state, entry.unanswered_since, now);
        } else {
            record_acknowledged_data(health, now);
        }
        set_unanswered_since(state.flows, entry, mono_time{});
    }
    if (packet.payload_bytes == 0) {
        return false;
    }
    const std::uint32_t end_sequence = packet.sequence + packet.payload_bytes;
    if (is_after(end_sequence, entry.sent_end_sequence)) {
        entry.sent_end_sequence = end_sequence;
        if (entry.unanswered_since == mono_time{}) {
            set_unanswered_since(state.flows, entry, now);
            if (state.pending_requests.size() < max_pending) {
                insert_by_due_time(state.pending_requests,
                                   {.flow = packet.flow, .sent_at = now, .due_at = now + suspicion_timeout});
            }
        }
        return false;
    }
    const bool is_retransmission =
        entry.unanswered_since != mono_time{} && now - entry.unanswered_since >= min_retransmission_time;
    return is_retransmission && should_probe_after_slow_request(health, entry.unanswered_since, now);
}

/// Decides a packet of an open flow. `matched` is the route of its address and port, or null if the routes
/// are not known.
decision decide_established_packet(director_state& state, const fleet_view& view, const route* matched,
                                   const flow_packet& packet, mono_time now) {
    if (view.upstreams == nullptr) {
        return drop(decision_reason::no_listing);
    }
    const bool had_entry = find_flow(state.flows, packet.flow) != nullptr;
    if (!had_entry && packet.tag == no_tag) {
        return drop(decision_reason::untagged);
    }
    auto* entry = ensure_established_entry(state, packet, now);
    const auto tag = entry == nullptr ? packet.tag : entry->tag;
    const auto* target = find_by_tag(*view.upstreams, tag);
    if (target == nullptr) {
        remove_flow(state.flows, packet.flow);
        return decide_unknown_tag(state, view, packet, now);
    }
    const auto request_sent_at = entry == nullptr ? mono_time{} : entry->unanswered_since;
    const bool had_stalled = health_of(state, tag).consecutive_stalls > 0;
    const auto suspicion_timeout = suspicion_timeout_of(state, matched, target->report.service);
    const bool needs_probe =
        entry != nullptr && observe_packet(state, *entry, packet, suspicion_timeout, now);
    const auto& health = health_of(state, tag);
    const auto first_seen_at = entry == nullptr ? now : entry->first_seen_at;
    if (state.mechanisms.is_enabled(mechanism::absence_reset) && is_gone(view, *target, first_seen_at, now) &&
        now - health.last_progress_at > unlisted_progress_grace) {
        if (entry != nullptr) {
            end_flow(state.flows, *entry);
        }
        return reset(packet, decision_reason::upstream_gone, target);
    }
    if (state.mechanisms.is_enabled(mechanism::unreachable_reset) && is_unreachable(health, now)) {
        remove_flow(state.flows, packet.flow);
        return reset(packet, decision_reason::upstream_unreachable, target);
    }
    const bool is_answered = request_sent_at != mono_time{} && entry->unanswered_since == mono_time{};
    if (packet.is_rst) {
        remove_flow(state.flows, packet.flow);
    } else if (packet.is_fin && entry != nullptr) {
        close_flow(state.flows, *entry);
    }
    auto decided =
        forward(*target, tag, had_entry ? decision_reason::known_flow : decision_reason::tagged_flow);
    decided.probe_target = needs_probe ? target : nullptr;
    decided.answered_request_sent_at = is_answered ? request_sent_at : mono_time{};
    if (had_stalled && health.consecutive_stalls == 0) {
        decided.observation = host_observation{.kind = host_observation_kind::cleared, .tag = tag};
    }
    return decided;
}

/// Decides a packet of an open flow that matches no route. Another director may have opened the flow on a
/// route that is newer than the routes here, so the flow is forwarded until newer routes lack its route too.
decision decide_established_without_route(director_state& state, const fleet_view& view,
                                          const flow_packet& packet, mono_time now) {
    auto* entry = find_flow(state.flows, packet.flow);
    if (entry != nullptr && view.routes_as_of > entry->first_seen_at) {
        end_flow(state.flows, *entry);
        return reset(packet, decision_reason::no_route);
    }
    auto decided = decide_established_packet(state, view, nullptr, packet, now);
    decided.needs_newer_routes = decided.outcome == verdict::forward;
    return decided;
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
    return view.routes != nullptr || (!packet.is_syn && find_by_tag(*view.upstreams, packet.tag) != nullptr);
}

decision decide(director_state& state, const fleet_view& view, const flow_packet& packet, mono_time now) {
    if (view.routes == nullptr) {
        return can_decide(view, packet) ? decide_established_packet(state, view, nullptr, packet, now)
                                        : drop(decision_reason::no_configuration);
    }
    const auto* matched = find_route(*view.routes, packet.flow);
    if (matched == nullptr && !packet.is_syn) {
        return decide_established_without_route(state, view, packet, now);
    }
    if (matched == nullptr) {
        remove_flow(state.flows, packet.flow);
        return decide_opening_without_route(view, packet, now);
    }
    if (packet.is_syn) {
        return decide_opening_packet(state, view, *matched, packet, now);
    }
    const auto decided = decide_established_packet(state, view, matched, packet, now);
    record_answer_for_admission(state, view, *matched, decided, now);
    record_answer_for_placement(state, view, *matched, decided, now);
    return decided;
}

director_subset subset_among(const endpoint& self, std::span<const director_peer> peers) noexcept {
    const auto lower_addresses = std::ranges::count_if(
        peers, [&self](const director_peer& peer) { return peer.observation_address < self; });
    return {.index = static_cast<std::size_t>(lower_addresses), .count = peers.size() + 1};
}

director_subset subset_from_seed(std::uint64_t seed) noexcept {
    constexpr std::size_t subset_count = 1024;
    return {.index = seed % subset_count, .count = subset_count};
}

host_health& health_of(director_state& state, steering_tag tag) {
    return state.health[static_cast<std::uint32_t>(tag)];
}

void withhold_routes_until_known(fleet_view& view, const evacuation_state& evacuations) noexcept {
    if (!is_known(evacuations)) {
        view.routes.reset();
    }
}

fleet_view make_stale_view(fleet_view view) {
    view.routes_fresh_until = mono_time{};
    view.routes_as_of = mono_time{};
    view.store_available_since = mono_time::max();
    view.listing_as_of = mono_time{};
    view.listing_verified_at = mono_time{};
    return view;
}

void record_suspension(director_state& state, mono_time now) {
    for (auto& [tag, health] : state.health) {
        health.unreachable_until = now;
        health.overdue_requests = 0;
        health.refused_at = mono_time{};
    }
    state.pending_requests.clear();
    state.slow_requests.clear();
    state.stall_checks.clear();
    state.pending_stall_resets.clear();
    state.flows_with_unknown_tag.clear();
    record_pause(state, now);
}

void record_pause(director_state& state, mono_time now) {
    state.service_loads.clear();
    state.placement_loads.clear();
    forget_openings(state.hedging);
    state.load_observed_since = now;
}

void remove_expired_state(director_state& state, const fleet_view& view, mono_time now) {
    const bool is_configured = view.routes != nullptr && view.routes->idle_timeout_ms > 0;
    const auto idle_timeout =
        is_configured ? std::chrono::milliseconds{view.routes->idle_timeout_ms} : default_idle_timeout;
    expire_flows(state.flows, now - idle_timeout);
    std::erase_if(state.flows_with_unknown_tag,
                  [now](const auto& item) { return now - item.second > unknown_tag_retention; });
    std::erase_if(state.arrivals_by_route, [now](const auto& item) {
        return now >= item.second.window_began_at + 2 * arrival_window;
    });
    if (view.upstreams != nullptr) {
        std::erase_if(state.health, [&view](const auto& item) {
            return find_by_tag(*view.upstreams, steering_tag{item.first}) == nullptr;
        });
    }
}

}  // namespace guavaramp
