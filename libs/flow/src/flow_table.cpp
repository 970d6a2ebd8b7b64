#include <guavaramp/flow/flow_table.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <new>

namespace guavaramp {
namespace {

// With 14 of 16 slots used on average, less than 0.1% of insertions find both buckets full.
constexpr std::size_t mean_slots_used = 14;
constexpr std::uint64_t byte_low_bits = 0x0101010101010101ULL;
constexpr std::uint64_t byte_high_bits = 0x8080808080808080ULL;

std::uint8_t fingerprint_of(std::uint64_t hash) noexcept { return static_cast<std::uint8_t>(hash | 0x80U); }

// Returns a word with the high bit set in each byte where `word` equals `value`. A byte above a match may be
// a false positive (Mycroft, 1987), which the caller's comparison of the flow key rejects.
std::uint64_t matching_bytes(std::uint64_t word, std::uint8_t value) noexcept {
    const std::uint64_t difference = word ^ (byte_low_bits * value);
    return (difference - byte_low_bits) & ~difference & byte_high_bits;
}

std::size_t scale_to_range(std::uint64_t value32, std::size_t range) noexcept {
    return (value32 * range) >> 32U;
}

bool is_same_flow(const flow_entry& entry, const flow_id& id) noexcept {
    return entry.caller_port == id.caller_port && entry.service == id.service && entry.caller == id.caller;
}

template <typename T>
T* allocate_zeroed(std::size_t count) {
    void* memory = std::calloc(count, sizeof(T));
    if (memory == nullptr) {
        throw std::bad_alloc{};
    }
    return static_cast<T*>(memory);
}

}  // namespace

flow_table::flow_table(std::size_t capacity)
    : capacity_(capacity),
      bucket_count_(std::max<std::size_t>(2, (capacity + mean_slots_used - 1) / mean_slots_used)),
      fingerprints_(allocate_zeroed<std::uint8_t>(bucket_count_ * bucket_slots)),
      entries_(allocate_zeroed<flow_entry>(bucket_count_ * bucket_slots)) {}

std::size_t flow_table::first_bucket(std::uint64_t hash) const noexcept {
    return scale_to_range(hash & 0xffffffffU, bucket_count_);
}

std::size_t flow_table::second_bucket(std::uint64_t hash) const noexcept {
    return scale_to_range(hash >> 32U, bucket_count_);
}

void flow_table::prefetch(std::uint64_t hash) const noexcept {
    for (const std::size_t bucket : {first_bucket(hash), second_bucket(hash)}) {
        const std::size_t base = bucket * bucket_slots;
        for (std::size_t half = 0; half < bucket_slots; half += 8) {
            std::uint64_t word = 0;
            std::memcpy(&word, &fingerprints_[base + half], sizeof word);
            const std::uint64_t matches = matching_bytes(word, fingerprint_of(hash));
            if (matches != 0) {
                const auto slot = base + half + static_cast<std::size_t>(std::countr_zero(matches)) / 8;
                const auto* entry = reinterpret_cast<const char*>(&entries_[slot]);
                __builtin_prefetch(entry, 1);
                __builtin_prefetch(entry + sizeof(flow_entry) - 1, 1);
            }
        }
    }
}

flow_entry* flow_table::find_in_bucket(std::size_t bucket, const flow_id& id) noexcept {
    const std::size_t base = bucket * bucket_slots;
    for (std::size_t half = 0; half < bucket_slots; half += 8) {
        std::uint64_t word = 0;
        std::memcpy(&word, &fingerprints_[base + half], sizeof word);
        std::uint64_t matches = matching_bytes(word, fingerprint_of(id.hash));
        while (matches != 0) {
            const auto slot = base + half + static_cast<std::size_t>(std::countr_zero(matches)) / 8;
            if (is_same_flow(entries_[slot], id) && fingerprints_[slot] != 0) {
                return &entries_[slot];
            }
            matches &= matches - 1;
        }
    }
    return nullptr;
}

flow_entry* flow_table::find(const flow_id& id) noexcept {
    if (auto* entry = find_in_bucket(first_bucket(id.hash), id)) {
        return entry;
    }
    return find_in_bucket(second_bucket(id.hash), id);
}

std::optional<std::size_t> flow_table::empty_slot(std::size_t bucket) const noexcept {
    for (std::size_t slot = bucket * bucket_slots; slot < (bucket + 1) * bucket_slots; ++slot) {
        if (fingerprints_[slot] == 0) {
            return slot;
        }
    }
    return std::nullopt;
}

std::size_t flow_table::used_slots(std::size_t bucket) const noexcept {
    const auto* fingerprints = &fingerprints_[bucket * bucket_slots];
    return bucket_slots - static_cast<std::size_t>(std::count(fingerprints, fingerprints + bucket_slots, 0));
}

flow_entry& flow_table::write(std::size_t slot, const flow_id& id, std::uint8_t flags) noexcept {
    fingerprints_[slot] = fingerprint_of(id.hash);
    entries_[slot] = {
        .caller = id.caller, .service = id.service, .caller_port = id.caller_port, .flags = flags};
    return entries_[slot];
}

insert_result flow_table::insert(const flow_id& id, std::uint8_t flags) noexcept {
    const std::size_t first = first_bucket(id.hash);
    const std::size_t second = second_bucket(id.hash);
    const auto slot = empty_slot(used_slots(first) <= used_slots(second) ? first : second);
    if (!slot || size_ >= capacity_) {
        return replace(id, flags);
    }
    ++size_;
    return {.entry = &write(*slot, id, flags), .outcome = insert_outcome::inserted};
}

insert_result flow_table::replace(const flow_id& id, std::uint8_t flags) noexcept {
    std::optional<std::size_t> cached;
    const auto last_used = [this](std::size_t slot) {
        return std::max(entries_[slot].last_from_caller, entries_[slot].last_from_upstream);
    };
    for (const std::size_t bucket : {first_bucket(id.hash), second_bucket(id.hash)}) {
        for (std::size_t slot = bucket * bucket_slots; slot < (bucket + 1) * bucket_slots; ++slot) {
            if (fingerprints_[slot] == 0) {
                continue;
            }
            if ((entries_[slot].flags & flow_flag::closing) != 0) {
                return {.entry = &write(slot, id, flags), .outcome = insert_outcome::replaced_closing};
            }
            const bool is_cached = (entries_[slot].flags & flow_flag::owned) == 0;
            if (is_cached && (!cached || last_used(slot) < last_used(*cached))) {
                cached = slot;
            }
        }
    }
    if (!cached) {
        return {};
    }
    return {.entry = &write(*cached, id, flags), .outcome = insert_outcome::replaced_cached};
}

void flow_table::erase(flow_entry& entry) noexcept {
    fingerprints_[static_cast<std::size_t>(&entry - entries_.get())] = 0;
    --size_;
}

}  // namespace guavaramp
