#include <guavaramp/director/flow_cache.hpp>

namespace guavaramp {
namespace {

void count_open(flow_cache& cache, steering_tag tag) { ++cache.open_by_tag[static_cast<std::uint32_t>(tag)]; }

void count_closed(flow_cache& cache, steering_tag tag) {
    const auto found = cache.open_by_tag.find(static_cast<std::uint32_t>(tag));
    if (found != cache.open_by_tag.end() && --found->second == 0) {
        cache.open_by_tag.erase(found);
    }
}

}  // namespace

flow_entry* find_flow(flow_cache& cache, const flow_tuple& flow) noexcept {
    const auto found = cache.flows.find(flow);
    return found == cache.flows.end() ? nullptr : &found->second;
}

flow_entry* add_flow(flow_cache& cache, const flow_tuple& flow, const flow_entry& entry) {
    remove_flow(cache, flow);
    if (cache.flows.size() >= cache.max_flows) {
        return nullptr;
    }
    auto* added = &cache.flows.emplace(flow, entry).first->second;
    if (!entry.closing) {
        count_open(cache, entry.tag);
    }
    return added;
}

void retag_flow(flow_cache& cache, flow_entry& entry, steering_tag tag) {
    if (!entry.closing) {
        count_closed(cache, entry.tag);
        count_open(cache, tag);
    }
    entry.tag = tag;
}

void close_flow(flow_cache& cache, flow_entry& entry) {
    if (!entry.closing) {
        entry.closing = true;
        count_closed(cache, entry.tag);
    }
}

void remove_flow(flow_cache& cache, const flow_tuple& flow) {
    const auto found = cache.flows.find(flow);
    if (found != cache.flows.end()) {
        close_flow(cache, found->second);
        cache.flows.erase(found);
    }
}

void expire_flows(flow_cache& cache, mono_time oldest) {
    for (auto position = cache.flows.begin(); position != cache.flows.end();) {
        if (position->second.last_seen < oldest) {
            close_flow(cache, position->second);
            position = cache.flows.erase(position);
        } else {
            ++position;
        }
    }
}

std::uint32_t open_flows(const flow_cache& cache, steering_tag tag) noexcept {
    const auto found = cache.open_by_tag.find(static_cast<std::uint32_t>(tag));
    return found == cache.open_by_tag.end() ? 0 : found->second;
}

}  // namespace guavaramp
