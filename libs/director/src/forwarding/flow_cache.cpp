#include <guavaramp/director/flow_cache.hpp>

namespace guavaramp {
namespace {

bool is_waiting(const flow_entry& entry) noexcept { return entry.unanswered_since != mono_time{}; }

void add_load(flow_cache& cache, const flow_entry& entry) {
    if (entry.closing) {
        return;
    }
    auto& load = cache.load_by_tag[static_cast<std::uint32_t>(entry.tag)];
    ++load.open_flows;
    load.waiting_flows += is_waiting(entry) ? 1 : 0;
}

void remove_load(flow_cache& cache, const flow_entry& entry) {
    const auto found = cache.load_by_tag.find(static_cast<std::uint32_t>(entry.tag));
    if (entry.closing || found == cache.load_by_tag.end()) {
        return;
    }
    found->second.waiting_flows -= is_waiting(entry) ? 1 : 0;
    if (--found->second.open_flows == 0) {
        cache.load_by_tag.erase(found);
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
    add_load(cache, entry);
    return added;
}

void retag_flow(flow_cache& cache, flow_entry& entry, steering_tag tag) {
    remove_load(cache, entry);
    entry.tag = tag;
    add_load(cache, entry);
}

void set_unanswered_since(flow_cache& cache, flow_entry& entry, mono_time since) {
    remove_load(cache, entry);
    entry.unanswered_since = since;
    add_load(cache, entry);
}

void close_flow(flow_cache& cache, flow_entry& entry) {
    remove_load(cache, entry);
    entry.closing = true;
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
        if (position->second.last_seen_at < oldest) {
            close_flow(cache, position->second);
            position = cache.flows.erase(position);
        } else {
            ++position;
        }
    }
}

upstream_load load_of(const flow_cache& cache, steering_tag tag) noexcept {
    const auto found = cache.load_by_tag.find(static_cast<std::uint32_t>(tag));
    return found == cache.load_by_tag.end() ? upstream_load{} : found->second;
}

}  // namespace guavaramp
