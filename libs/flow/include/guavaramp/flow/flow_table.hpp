#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/ids.hpp>
#include <guavaramp/packet/ip_packet.hpp>
#include <guavaramp/record/flow_record.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>

namespace guavaramp {

/// Timestamp of flow table entries, in units of 10 ms since the table's owner started. Wraps after 497 days.
using flow_tick = std::uint32_t;
inline constexpr std::int64_t flow_tick_ms = 10;

/// Key of a flow in the table. The service id stands for the service's address, port and protocol. An address
/// that is moved to another service therefore does not match flows of its previous service.
struct flow_id {
    std::uint64_t hash{0};  ///< `hash_flow` of the flow's key
    ip_address caller;
    std::uint16_t caller_port{0};
    service_id service{0};
};

namespace flow_flag {
inline constexpr std::uint8_t owned = 0x01;    ///< this daemon is the flow's owner and chooses its upstream
inline constexpr std::uint8_t opening = 0x02;  ///< only SYNs have been seen from the caller
inline constexpr std::uint8_t unanswered = 0x04;    ///< a packet from the caller has not been answered yet
inline constexpr std::uint8_t fin_caller = 0x08;    ///< the caller sent FIN
inline constexpr std::uint8_t fin_upstream = 0x10;  ///< the upstream sent FIN
inline constexpr std::uint8_t ended = 0x20;         ///< RST, or FIN from both sides; kept for late packets
inline constexpr std::uint8_t closing = fin_caller | fin_upstream | ended;
}  // namespace flow_flag

/// State of one flow, 52 bytes. With its one-byte fingerprint and a load factor of 14/16, a flow takes 60.6
/// bytes of memory.
struct flow_entry {
    ip_address caller;
    service_id service{0};
    upstream_id upstream{0};
    flow_tick first_seen{0};
    flow_tick last_from_caller{0};
    flow_tick last_from_upstream{0};  ///< 0 if this daemon has seen no packet from the upstream
    std::uint32_t next_sequence{0};   ///< TCP sequence number after the caller's last byte
    std::uint32_t acknowledgment{0};  ///< last TCP acknowledgment number from the caller
    std::uint16_t caller_port{0};
    std::uint16_t revision{0};          ///< low 16 bits of the configuration revision at insertion
    std::uint16_t unanswered_since{0};  ///< low 16 bits of the tick of the first unanswered packet
    std::uint8_t flags{0};
    std::uint8_t reason : 3 {0};  ///< `placement_reason`
    /// Keep-alive probes sent since the upstream's last packet. For an unanswered SYN, which is not probed, 1
    /// if the failure has been counted.
    std::uint8_t unanswered_probes : 2 {0};
    std::uint8_t relayed_packets : 3 {0};  ///< packets that were relayed between entry VMs; saturates at 7
};
static_assert(sizeof(flow_entry) == 52);

/// Result kind of `flow_table::insert`: whether the flow was added, and which kind of entry it replaced.
enum class insert_outcome : std::uint8_t { inserted, replaced_closing, replaced_cached, refused };

struct insert_result {
    flow_entry* entry{nullptr};  ///< null if the insertion was refused
    insert_outcome outcome{insert_outcome::refused};
};

/// Bounded open-addressing hash table of flows. Each flow has two candidate buckets of 16 slots (two-choice
/// hashing, Azar et al., 1999). Slots are matched by one-byte fingerprints of the flow hash, so a lookup
/// reads two cache lines of fingerprints and one entry. The table allocates nothing after construction and
/// has no tombstones, so a long-running daemon never rehashes. Not thread-safe: the packet thread owns the
/// table.
class flow_table {
public:
    static constexpr std::size_t bucket_slots = 16;

    /// Reserves address space for `capacity` flows; pages become resident when they are first used.
    /// Precondition: `capacity` > 0.
    explicit flow_table(std::size_t capacity);

    /// Prefetches the memory that `find` reads for a flow with this hash. Call it for every packet of a batch
    /// before the first `find`.
    void prefetch(std::uint64_t hash) const noexcept;

    /// Returns the flow's entry, or null if there is none. The pointer is valid until the entry is erased or
    /// replaced.
    [[nodiscard]] flow_entry* find(const flow_id& id) noexcept;

    /// Adds a flow. Precondition: the flow is not in the table. If both buckets or the table are full, the
    /// new flow replaces a closing entry of the two buckets, or else their least recently used cached (not
    /// owned) entry. An owned entry that is not closing is never replaced; if there is nothing to replace,
    /// the insertion is refused.
    [[nodiscard]] insert_result insert(const flow_id& id, std::uint8_t flags) noexcept;

    /// Removes `entry`, which must be an entry of this table.
    void erase(flow_entry& entry) noexcept;

    /// Calls `visitor(flow_entry&)` for each flow in the buckets [first, last). The visitor may erase the
    /// entry that it is called with.
    template <typename Visitor>
    void visit(std::size_t first, std::size_t last, Visitor&& visitor) {
        for (std::size_t slot = first * bucket_slots; slot < last * bucket_slots; ++slot) {
            if (fingerprints_[slot] != 0) {
                visitor(entries_[slot]);
            }
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
    [[nodiscard]] std::size_t bucket_count() const noexcept { return bucket_count_; }
    [[nodiscard]] std::size_t memory_bytes() const noexcept {
        return bucket_count_ * bucket_slots * (sizeof(flow_entry) + 1);
    }

private:
    struct free_deleter {
        void operator()(void* memory) const noexcept { std::free(memory); }
    };

    [[nodiscard]] std::size_t first_bucket(std::uint64_t hash) const noexcept;
    [[nodiscard]] std::size_t second_bucket(std::uint64_t hash) const noexcept;
    [[nodiscard]] flow_entry* find_in_bucket(std::size_t bucket, const flow_id& id) noexcept;
    [[nodiscard]] std::optional<std::size_t> empty_slot(std::size_t bucket) const noexcept;
    [[nodiscard]] std::size_t used_slots(std::size_t bucket) const noexcept;
    [[nodiscard]] insert_result replace(const flow_id& id, std::uint8_t flags) noexcept;
    flow_entry& write(std::size_t slot, const flow_id& id, std::uint8_t flags) noexcept;

    std::size_t capacity_;
    std::size_t bucket_count_;
    std::size_t size_{0};
    std::unique_ptr<std::uint8_t[], free_deleter> fingerprints_;
    std::unique_ptr<flow_entry[], free_deleter> entries_;
};

}  // namespace guavaramp
