#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/flow_packet.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace guavaramp {

/// The state of a flow whose packets this director has seen. A flow survives the loss of its entry, because
/// its packets carry the tag. The entry keeps the flow with one host if two hosts have answered its opening
/// packet, and shows whether the host answers.
struct flow_entry {
    steering_tag tag{no_tag};  ///< the upstream that the flow belongs to
    /// Sequence number of the opening packet, which tells a copy of the packet from a new flow.
    std::uint32_t opening_sequence{0};
    std::uint32_t last_acknowledged{0};
    std::uint32_t sent_end_sequence{0};  ///< sequence number after the last byte of the caller seen so far
    /// Time of the flow's first packet that this director has seen. The flow may have been opened earlier,
    /// through another director, and never later.
    mono_time first_seen_at{};
    mono_time last_seen_at{};
    /// Time at which the caller first sent the data that is unanswered now, or at which its opening packet
    /// was last placed; the epoch if nothing is unanswered.
    mono_time unanswered_since{};
    std::uint32_t opening_repetitions{0};  ///< times that the upstream got the opening packet again
    bool established{false};  ///< the caller has acknowledged a host's answer to the opening packet
    bool closing{false};      ///< the caller has sent a FIN
};

/// The load of one upstream as one director sees it.
struct upstream_load {
    std::uint32_t open_flows{0};     ///< flows that are not closing
    std::uint32_t waiting_flows{0};  ///< the open flows whose caller waits for an answer

    friend bool operator==(const upstream_load&, const upstream_load&) = default;
};

/// The flows of this director by their tuple, and the load of each upstream. Not thread-safe: one thread owns
/// it.
struct flow_cache {
    std::size_t max_flows{1U << 16U};
    std::unordered_map<flow_tuple, flow_entry> flows;
    std::unordered_map<std::uint32_t, upstream_load> load_by_tag;
};

/// Returns the entry of `flow`, or null if there is none. Not thread-safe.
[[nodiscard]] flow_entry* find_flow(flow_cache& cache, const flow_tuple& flow) noexcept;

/// Adds an entry and returns it, or returns null if the cache is full: the flow is then forwarded by its tag
/// alone. Replaces an older entry of the same tuple. Not thread-safe.
flow_entry* add_flow(flow_cache& cache, const flow_tuple& flow, const flow_entry& entry);

/// Moves a flow to another upstream. Not thread-safe.
void retag_flow(flow_cache& cache, flow_entry& entry, steering_tag tag);

/// Sets the time since which the caller waits for an answer; the epoch means that it doesn't wait. Not
/// thread-safe.
void set_unanswered_since(flow_cache& cache, flow_entry& entry, mono_time since);

/// Marks a flow as closing: it no longer counts as load of its upstream. Not thread-safe.
void close_flow(flow_cache& cache, flow_entry& entry);

/// Removes a flow, if it is in the cache. Not thread-safe.
void remove_flow(flow_cache& cache, const flow_tuple& flow);

/// Removes the flows whose last packet was seen before `oldest`. Not thread-safe.
void expire_flows(flow_cache& cache, mono_time oldest);

/// Returns the load that this director's flows put on an upstream. Not thread-safe.
[[nodiscard]] upstream_load load_of(const flow_cache& cache, steering_tag tag) noexcept;

}  // namespace guavaramp
