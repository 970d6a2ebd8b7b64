#include "shared_decisions.hpp"

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
/// Share of the newest answer in the average over all hosts: about the last five count.
constexpr double newest_answer_share = 0.2;
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

/// A new flow goes to `tag`. Returns what the other directors should know of it.
std::optional<host_note> note_placed(director_state& state, steering_tag tag, mono_time now) {
    auto& health = health_of(state, tag);
    if (!is_on_trial(health, now) || is_avoided(health, now)) {
        return std::nullopt;
    }
    note_trial(health, now);
    return host_note{.kind = host_note_kind::trial, .tag = tag};
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

director_share share_among(const endpoint& self, std::span<const director_peer> peers) noexcept {
    const auto before =
        std::ranges::count_if(peers, [&self](const director_peer& peer) { return peer.address < self; });
    return {.index = static_cast<std::size_t>(before), .count = peers.size() + 1};
}

director_share share_without_roster(std::uint64_t seed) noexcept {
    constexpr std::size_t places = 1024;
    return {.index = seed % places, .count = places};
}

host_health& health_of(director_state& state, steering_tag tag) {
    return state.health[static_cast<std::uint32_t>(tag)];
}

fleet_view without_trust(fleet_view view) {
    view.routes_trusted_until = mono_time{};
    view.steady_since = mono_time::max();
    view.listing_as_of = mono_time{};
    return view;
}

void note_suspension(director_state& state, mono_time now) {
    for (auto& [tag, health] : state.health) {
        health.unreachable_until = now;
        health.overdue_requests = 0;
        health.refused_at = mono_time{};
    }
    state.answers.clear();
    state.overdue.clear();
    state.stall_checks.clear();
    state.unexplained_tags.clear();
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
