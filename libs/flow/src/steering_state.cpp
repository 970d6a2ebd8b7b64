#include "steering_internal.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using namespace steering_detail;

constexpr auto retired_retention = std::chrono::hours{24};
constexpr std::size_t latency_sample_slots = 4096;
// During a planned stop, a daemon may spend its budget for control traffic on handing over UDP flows.
constexpr double hand_over_bytes_per_second = 3000.0;

/// Returns the service with this id, or null if it or the configuration is missing.
const service* find_service_by_id(const steering_state& state, service_id id) {
    return state.config ? state.config->find_service(id) : nullptr;
}

/// Returns whether an upstream of another service, which is not retired, has the packet address of `host`.
bool is_address_reused(const config_snapshot& config, const upstream& host, service_id service) {
    const auto refs = config.find_upstreams_at(host.packet_address);
    return std::ranges::any_of(refs, [service](const upstream_ref& ref) {
        return ref.owner->id != service && ref.host->state != upstream_state::retired;
    });
}

bool have_same_owners(const std::vector<steering_peer>& left, const std::vector<steering_peer>& right) {
    return std::ranges::equal(left, right, [](const steering_peer& one, const steering_peer& other) {
        return one.address == other.address && one.can_own == other.can_own;
    });
}

/// Returns the peer with this address. The counters and the bypass time of a known peer are kept.
steering_peer make_peer(const steering_state& state, const ip_address& address, bool can_own) {
    const auto known = std::ranges::find(state.peers, address, &steering_peer::address);
    steering_peer peer = known == state.peers.end() ? steering_peer{.address = address} : *known;
    peer.key = rendezvous_key(address);
    peer.can_own = can_own;
    return peer;
}

wall_time wall_time_at(const steering_state& state, flow_tick tick) {
    return state.started_at.wall + milliseconds{(static_cast<std::int64_t>(tick) - 1) * flow_tick_ms};
}

/// Returns the full configuration revision of which the entry holds the low 16 bits.
config_revision full_revision(const steering_state& state, const flow_entry& entry) {
    const auto current = state.config ? static_cast<std::uint64_t>(state.config->revision()) : 0;
    const auto age = static_cast<std::uint16_t>(static_cast<std::uint16_t>(current) - entry.revision);
    return config_revision{current - std::min<std::uint64_t>(current, age)};
}

}  // namespace

namespace steering_detail {

flow_tick tick_at(const steering_state& state, steering_time now) noexcept {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now.mono - state.started_at.mono);
    return static_cast<flow_tick>(elapsed.count() / flow_tick_ms + 1);
}

flow_id make_flow_id(const flow_key& flow, service_id service, std::uint64_t hash) noexcept {
    return {.hash = hash, .caller = flow.caller.address, .caller_port = flow.caller.port, .service = service};
}

const upstream* usable_upstream(const steering_state& state, service_id service, upstream_id id,
                                steering_time now) {
    const auto ref = state.config->find_upstream(id);
    if (ref.host == nullptr || ref.owner->id != service) {
        return nullptr;
    }
    if (ref.host->state != upstream_state::retired) {
        return ref.host;
    }
    const bool kept = !ref.host->retired_at || now.wall - *ref.host->retired_at < retired_retention;
    return kept && !is_address_reused(*state.config, *ref.host, service) ? ref.host : nullptr;
}

const steering_peer* find_owner(const steering_state& state, std::uint64_t hash,
                                std::optional<mono_time> now) noexcept {
    const steering_peer* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& peer : state.peers) {
        if (!peer.can_own || (now && peer.bypassed_until > *now)) {
            continue;
        }
        // With equal weights the rendezvous score increases with the mixed hash, so its logarithm is not
        // needed.
        const std::uint64_t score = mix_hashes(peer.key, hash);
        if (best == nullptr || score > best_score) {
            best = &peer;
            best_score = score;
        }
    }
    return best;
}

flow_record make_flow_record(const steering_state& state, const flow_entry& entry, steering_time now) {
    flow_record record{.service = entry.service,
                       .upstream = entry.upstream,
                       .reason = static_cast<placement_reason>(entry.reason),
                       .revision = full_revision(state, entry),
                       .owner = state.options.local,
                       .first_seen = wall_time_at(state, entry.first_seen),
                       .last_from_caller = wall_time_at(state, entry.last_from_caller),
                       .relayed_packets = entry.relayed_packets};
    record.flow.caller = {.address = entry.caller, .port = entry.caller_port};
    if (const auto* found = find_service_by_id(state, entry.service)) {
        record.flow.service = found->address;
        record.flow.protocol = found->protocol;
    }
    if (entry.last_from_upstream != 0) {
        record.last_from_upstream = wall_time_at(state, entry.last_from_upstream);
    }
    if (const auto* owner = find_owner(state, hash_flow(record.flow), std::nullopt)) {
        record.owner = owner->address;
    }
    if ((entry.flags & flow_flag::ended) != 0) {
        record.end = flow_end::closed;
        record.ended_at = std::min(now.wall, std::max(record.last_from_caller, record.last_from_upstream));
    }
    return record;
}

}  // namespace steering_detail

void steering_effects::clear() noexcept {
    sends.clear();
    drops.clear();
    ended.clear();
    peers_with_newer_config.clear();
}

steering_state::steering_state(const steering_options& given, steering_time now)
    : options(given),
      started_at(now),
      membership_changed_at(now.mono),
      flows(given.max_flows),
      probe_tokens(make_token_bucket(given.max_probed_flows_per_second,
                                     static_cast<double>(given.max_resolutions), now.mono)),
      latency_samples(latency_sample_slots),
      hand_over_budget(make_token_bucket(hand_over_bytes_per_second, hand_over_bytes_per_second, now.mono)),
      last_placement_update_at(now.mono),
      last_sweep_at(now.mono) {
    peers.push_back(make_peer(*this, given.local, true));
}

void set_config(steering_state& state, std::shared_ptr<const config_snapshot> config, steering_time now) {
    state.config = std::move(config);
    if (state.config) {
        observe_configuration(state.placement, *state.config, now.mono);
    }
}

void set_members(steering_state& state, const member_list& members, steering_time now) {
    const auto self = std::ranges::find(members.members, state.options.local, &member::address);
    std::vector<steering_peer> peers;
    for (const auto& one : members.members) {
        const bool same_domain = self != members.members.end() && one.failure_domain == self->failure_domain;
        if (one.address == state.options.local || !same_domain || one.state == member_state::dead) {
            continue;
        }
        peers.push_back(make_peer(state, one.address, one.state != member_state::leaving));
    }
    peers.push_back(make_peer(state, state.options.local, !state.leaving));
    std::ranges::sort(peers, {}, &steering_peer::address);
    if (!have_same_owners(state.peers, peers)) {
        state.membership_changed_at = now.mono;
    }
    state.peers = std::move(peers);
}

void set_leaving(steering_state& state, steering_time now) {
    state.leaving = true;
    const auto self = std::ranges::find(state.peers, state.options.local, &steering_peer::address);
    if (self != state.peers.end() && self->can_own) {
        self->can_own = false;
        state.membership_changed_at = now.mono;
    }
}

bool is_from_upstream(const steering_state& state, const endpoint& source, const ip_packet& packet) {
    const auto* found = state.config ? state.config->find_service(packet.source, packet.protocol) : nullptr;
    return found != nullptr && std::ranges::any_of(found->upstreams, [&source](const upstream& host) {
               return host.packet_address == source;
           });
}

std::optional<flow_record> find_flow(steering_state& state, const flow_key& flow, steering_time now) {
    const auto* found = state.config ? state.config->find_service(flow.service, flow.protocol) : nullptr;
    if (found == nullptr) {
        return std::nullopt;
    }
    const auto* entry = state.flows.find(make_flow_id(flow, found->id, hash_flow(flow)));
    return entry == nullptr ? std::nullopt : std::optional{make_flow_record(state, *entry, now)};
}

result<placement_preview> preview_placement(const steering_state& state, const flow_key& flow,
                                            steering_time now) {
    if (!state.config) {
        return fail(error_kind::unavailable, "no configuration is known yet");
    }
    const auto* found = state.config->find_service(flow.service, flow.protocol);
    if (found == nullptr) {
        return fail(error_kind::not_found, to_string(flow.service) + " is not the address of a service");
    }
    const auto hash = hash_flow(flow);
    const auto* owner = find_owner(state, hash, std::nullopt);
    placement_preview preview{.owner = owner == nullptr ? state.options.local : owner->address,
                              .service = found->id};
    preview.next_owner = preview.owner;
    std::uint64_t next_score = 0;
    for (const auto& peer : state.peers) {
        const auto score = mix_hashes(peer.key, hash);
        if (peer.can_own && peer.address != preview.owner && score >= next_score) {
            preview.next_owner = peer.address;
            next_score = score;
        }
    }
    const auto candidates = find_candidates(state.placement, *found, hash, now);
    for (const auto* host : {candidates.first, candidates.second}) {
        if (host != nullptr) {
            preview.candidates.push_back(host->id);
        }
    }
    return preview;
}

}  // namespace guavaramp
