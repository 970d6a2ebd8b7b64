#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/cold_hosts.hpp>

#include <algorithm>
#include <cmath>

namespace guavaramp {
namespace {

constexpr std::uint64_t cold_rank_seed = 0x636f6c64ULL;
/// Limit of a service's opening packets per second and host. It bounds the memory of the window; a host with
/// 1,024 slots, the most that are accepted, does not reach it while it is cold.
constexpr double max_cold_openings = 4096;

std::uint64_t hash_of(const endpoint& director) noexcept {
    return hash_bytes(std::as_bytes(std::span{director.address.bytes}), cold_rank_seed + director.port);
}

std::uint64_t rank_of(std::uint64_t director, steering_tag tag) noexcept {
    return mix_hashes(director, static_cast<std::uint32_t>(tag));
}

bool ranks_first(const cold_host_state& state, steering_tag tag) {
    const auto own = rank_of(state.self, tag);
    return std::ranges::none_of(state.members,
                                [&](std::uint64_t member) { return rank_of(member, tag) > own; });
}

std::size_t openings_in_window(const cold_host_state& state, steering_tag tag, mono_time now) {
    const auto found = state.openings.find(static_cast<std::uint32_t>(tag));
    return found == state.openings.end()
               ? 0
               : static_cast<std::size_t>(std::ranges::count_if(
                     found->second, [now](mono_time sent_at) { return now - sent_at <= cold_window; }));
}

}  // namespace

cold_rules make_cold_rules(const route_table& routes, const std::optional<cold_limits>& limits) {
    cold_rules rules;
    if (!limits) {
        return rules;
    }
    for (const auto& [service, rate] : routes.warmup_rate_by_service) {
        const double bound = std::clamp(rate * limits->over + limits->slack, 0.0, max_cold_openings);
        rules.openings_by_service[service] = static_cast<std::uint32_t>(std::floor(bound / 2));
    }
    return rules;
}

void record_cold_members(cold_host_state& state, const endpoint& self, std::span<const director_peer> others,
                         bool known, mono_time now) {
    std::vector<std::uint64_t> members;
    for (const auto& other : others) {
        members.push_back(hash_of(other.observation_address));
    }
    std::ranges::sort(members);
    const bool is_changed = members != state.members || state.may_send_from == mono_time::max();
    state.self = hash_of(self);
    state.members = std::move(members);
    if (!known) {
        state.may_send_from = mono_time::max();
    } else if (is_changed) {
        state.may_send_from = now + cold_members_settling_time;
    }
}

bool may_open_cold_host(const cold_host_state& state, steering_tag tag, std::uint32_t limit, mono_time now) {
    return now >= state.may_send_from && ranks_first(state, tag) &&
           openings_in_window(state, tag, now) < limit;
}

const known_upstream* choose_cold_host(const cold_host_state& state, const upstream_index& index,
                                       const std::string& service, const std::string& failure_domain,
                                       steering_tag excluded, mono_time now) {
    const auto found = index.cold_by_service.find(service);
    if (found == index.cold_by_service.end() || now < state.may_send_from) {
        return nullptr;
    }
    const known_upstream* best = nullptr;
    std::size_t fewest = found->second.openings_per_director;
    for (const auto position : found->second.positions) {
        const auto& candidate = index.upstreams[position];
        const auto tag = tag_of(candidate.report.delivery_id);
        if (candidate.report.failure_domain != failure_domain || tag == excluded ||
            !ranks_first(state, tag)) {
            continue;
        }
        if (const auto sent = openings_in_window(state, tag, now); sent < fewest) {
            best = &candidate;
            fewest = sent;
        }
    }
    return best;
}

bool record_cold_opening(cold_host_state& state, const upstream_index& index, const known_upstream& target,
                         mono_time now) {
    const auto found = index.cold_by_service.find(target.report.service);
    const bool is_cold = found != index.cold_by_service.end() &&
                         std::ranges::any_of(found->second.positions, [&](std::size_t position) {
                             return index.upstreams[position].report.delivery_id == target.report.delivery_id;
                         });
    if (!is_cold) {
        return false;
    }
    std::erase_if(state.openings, [now](const auto& item) { return now - item.second.back() > cold_window; });
    auto& sent = state.openings[static_cast<std::uint32_t>(tag_of(target.report.delivery_id))];
    while (!sent.empty() && now - sent.front() > cold_window) {
        sent.pop_front();
    }
    sent.push_back(now);
    ++state.openings_total;
    return true;
}

}  // namespace guavaramp
