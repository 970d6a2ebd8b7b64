#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/flow_packet.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace guavaramp {

/// What a director remembers of a flow whose packets it has seen. A flow survives the loss of its entry,
/// since its packets carry the tag; the entry keeps a flow with one host while two have answered its opening
/// packet, and shows whether the host answers.
struct flow_entry {
    steering_tag tag{no_tag};           ///< the upstream that the flow belongs to
    std::uint32_t opening_sequence{0};  ///< of the opening packet; tells a copy from a new flow
    std::uint32_t last_acknowledged{0};
    std::uint32_t sent_until{0};  ///< end of the caller's data seen so far
    mono_time last_seen{};
    mono_time
        unanswered_since{};   ///< when the caller first sent what has not been answered; the epoch: nothing
    bool established{false};  ///< the caller has acknowledged a host's answer
    bool closing{false};
};

/// Work of one upstream as seen by one director.
struct upstream_work {
    std::uint32_t open{0};     ///< flows that are not closing
    std::uint32_t waiting{0};  ///< those whose caller waits for an answer

    friend bool operator==(const upstream_work&, const upstream_work&) = default;
};

/// Flows by tuple, and the work of each upstream. Not thread-safe: one thread owns it.
struct flow_cache {
    std::size_t max_flows{1U << 16U};
    std::unordered_map<flow_tuple, flow_entry> flows;
    std::unordered_map<std::uint32_t, upstream_work> work_by_tag;
};

/// The entry of `flow`, or null. Not thread-safe.
[[nodiscard]] flow_entry* find_flow(flow_cache& cache, const flow_tuple& flow) noexcept;

/// Adds an entry, or returns null when the cache is full: the flow then lives by its tag alone. Replaces an
/// older entry of the same tuple. Not thread-safe.
flow_entry* add_flow(flow_cache& cache, const flow_tuple& flow, const flow_entry& entry);

/// Moves a flow to another upstream. Not thread-safe.
void retag_flow(flow_cache& cache, flow_entry& entry, steering_tag tag);

/// Sets since when the caller waits for an answer; the epoch when it does not. Not thread-safe.
void set_unanswered(flow_cache& cache, flow_entry& entry, mono_time since);

/// Marks a flow as closing: it no longer counts as work of its upstream. Not thread-safe.
void close_flow(flow_cache& cache, flow_entry& entry);

/// Forgets a flow. Not thread-safe.
void remove_flow(flow_cache& cache, const flow_tuple& flow);

/// Forgets the flows that were last seen before `oldest`. Not thread-safe.
void expire_flows(flow_cache& cache, mono_time oldest);

/// Work of an upstream at this director. Not thread-safe.
[[nodiscard]] upstream_work work_of(const flow_cache& cache, steering_tag tag) noexcept;

}  // namespace guavaramp
