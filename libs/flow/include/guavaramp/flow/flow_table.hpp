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

/// Time of flow table entries in units of 10 ms since the start of the table's owner. Wraps after 497 days.
using flow_tick = std::uint32_t;
inline constexpr std::int64_t flow_tick_ms = 10;

/// What identifies a flow in the table. The service id stands for address, port and protocol, so an address
/// that moves to another service does not match the flows of the earlier one.
struct flow_id {
    std::uint64_t hash{0};  ///< `hash_flow` of the flow's key
    ip_address caller;
    std::uint16_t caller_port{0};
    service_id service{0};
};

namespace flow_flag {
inline constexpr std::uint8_t owned = 0x01;         ///< this daemon decides for the flow
inline constexpr std::uint8_t opening = 0x02;       ///< only SYNs were seen
inline constexpr std::uint8_t waiting = 0x04;       ///< a caller packet has no answer yet
inline constexpr std::uint8_t fin_caller = 0x08;    ///< the caller sent FIN
inline constexpr std::uint8_t fin_upstream = 0x10;  ///< the upstream sent FIN
inline constexpr std::uint8_t ended = 0x20;         ///< reset, or FIN from both; kept for late packets
inline constexpr std::uint8_t closing = fin_caller | fin_upstream | ended;
}  // namespace flow_flag

/// One flow. 52 bytes: with one tag byte and a load of 14/16 a flow takes 60.6 bytes.
struct flow_entry {
    ip_address caller;
    service_id service{0};
    upstream_id upstream{0};
    flow_tick first_seen{0};
    flow_tick last_from_caller{0};
    flow_tick last_from_upstream{0};  ///< 0: none seen here
    std::uint32_t next_sequence{0};   ///< sequence number after the caller's last byte
    std::uint32_t acknowledgment{0};  ///< last acknowledgment number from the caller
    std::uint16_t caller_port{0};
    std::uint16_t revision{0};       ///< low bits of the configuration revision at insertion
    std::uint16_t waiting_since{0};  ///< low bits of the tick of the first unanswered packet
    std::uint8_t flags{0};
    std::uint8_t reason : 3 {0};  ///< `placement_reason`
    std::uint8_t silent_probes : 2 {0};
    std::uint8_t relayed : 3 {0};  ///< relayed packets, saturating at 7
};
static_assert(sizeof(flow_entry) == 52);

/// What became of an insertion.
enum class insert_outcome : std::uint8_t { inserted, replaced_closing, replaced_cached, refused };

struct insert_result {
    flow_entry* entry{nullptr};  ///< null when refused
    insert_outcome outcome{insert_outcome::refused};
};

/// Bounded open-addressing table: two candidate buckets of 16 slots for each flow (two-choice hashing, Azar
/// et al., 1999), found by one-byte tags, so a lookup reads two cache lines of tags and one entry. Nothing is
/// allocated after construction, and there are no tombstones, so a long-running daemon never rehashes.
/// Not thread-safe: the packet thread owns the table.
class flow_table {
public:
    static constexpr std::size_t bucket_slots = 16;

    /// Precondition: `capacity` > 0. Reserves address space for `capacity` flows; pages become resident as
    /// they are used.
    explicit flow_table(std::size_t capacity);

    /// Asks the processor to load what `find` will read. Call for a whole batch before the first `find`.
    void prefetch(std::uint64_t hash) const noexcept;

    /// The flow's entry, or null. Valid until the entry is erased or replaced.
    [[nodiscard]] flow_entry* find(const flow_id& id) noexcept;

    /// Adds a flow that is not in the table. When both buckets or the table are full, a closing entry is
    /// replaced first, then the cached entry of the two buckets that was used longest ago. An established
    /// owned entry is never replaced.
    [[nodiscard]] insert_result insert(const flow_id& id, std::uint8_t flags) noexcept;

    /// Removes an entry of this table.
    void erase(flow_entry& entry) noexcept;

    /// Calls `visit(flow_entry&)` for the flows of buckets [first, last); `visit` may erase its entry.
    template <typename Visitor>
    void visit(std::size_t first, std::size_t last, Visitor&& visitor) {
        for (std::size_t slot = first * bucket_slots; slot < last * bucket_slots; ++slot) {
            if (tags_[slot] != 0) {
                visitor(entries_[slot]);
            }
        }
    }

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
    [[nodiscard]] std::size_t bucket_count() const noexcept { return buckets_; }
    [[nodiscard]] std::size_t memory_bytes() const noexcept {
        return buckets_ * bucket_slots * (sizeof(flow_entry) + 1);
    }

private:
    struct releaser {
        void operator()(void* memory) const noexcept { std::free(memory); }
    };

    [[nodiscard]] std::size_t first_bucket(std::uint64_t hash) const noexcept;
    [[nodiscard]] std::size_t second_bucket(std::uint64_t hash) const noexcept;
    [[nodiscard]] flow_entry* find_in(std::size_t bucket, const flow_id& id) noexcept;
    [[nodiscard]] std::optional<std::size_t> empty_slot(std::size_t bucket) const noexcept;
    [[nodiscard]] std::size_t used_in(std::size_t bucket) const noexcept;
    [[nodiscard]] insert_result replace(const flow_id& id, std::uint8_t flags) noexcept;
    flow_entry& write(std::size_t slot, const flow_id& id, std::uint8_t flags) noexcept;

    std::size_t capacity_;
    std::size_t buckets_;
    std::size_t size_{0};
    std::unique_ptr<std::uint8_t[], releaser> tags_;
    std::unique_ptr<flow_entry[], releaser> entries_;
};

}  // namespace guavaramp
