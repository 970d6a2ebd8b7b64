#pragma once

#include <guavaramp/config/model.hpp>
#include <guavaramp/record/flow_record.hpp>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// A flow record in 64 bytes. Addresses of entry VMs and services, which repeat, are indexes into tables of
/// the history. Times are kept in milliseconds as offsets before the end, up to 49 days.
struct compact_flow {
    std::array<std::uint8_t, 16> caller_address{};
    std::int64_t ended_ms{0};
    std::uint32_t first_seen_before_ms{0};
    std::uint32_t caller_before_ms{0};
    std::uint32_t upstream_before_ms{0};
    std::uint32_t service{0};
    std::uint32_t upstream{0};
    std::uint32_t revision{0};
    std::uint32_t relayed_packets{0};
    std::uint16_t caller_port{0};
    std::uint16_t owner_index{0};
    std::uint16_t service_index{0};
    placement_reason reason{placement_reason::first_candidate};
    flow_end end{flow_end::open};
    transport protocol{transport::tcp};
};
static_assert(sizeof(compact_flow) == 64);

/// Interns values that repeat. Index 0 stands for "not kept": the table is full.
template <typename Value>
class value_table {
public:
    [[nodiscard]] std::uint16_t index_of(const Value& value) {
        const auto found = indexes_.find(value);
        if (found != indexes_.end()) {
            return found->second;
        }
        if (values_.size() >= most_values) {
            return 0;
        }
        values_.push_back(value);
        const auto index = static_cast<std::uint16_t>(values_.size());
        indexes_.emplace(value, index);
        return index;
    }

    [[nodiscard]] Value value_at(std::uint16_t index) const {
        return index == 0 ? Value{} : values_[static_cast<std::size_t>(index) - 1];
    }

private:
    static constexpr std::size_t most_values = 65'535;

    std::vector<Value> values_;
    std::map<Value, std::uint16_t> indexes_;
};

/// 262,144 ended flows (16 MiB) are 51 minutes at the design size of 85 a second; 65,536 broken flows (4
/// MiB).
struct flow_history_limits {
    std::size_t ended{1U << 18U};
    std::size_t broken{1U << 16U};
};

/// Recently ended flows of one daemon. Broken flows are bounded separately, so that ordinary ends never push
/// them out. A record that was received from another entry VM is kept like an own one. Not thread-safe.
class flow_history {
public:
    explicit flow_history(flow_history_limits limits, wall_time started)
        : limits_(limits), started_(started) {}

    /// Adds an ended flow; the oldest one of its kind goes when its bound is reached. Ignores a record that
    /// is held already, so that a repeated message changes nothing. Precondition: `record.ended_at` has a
    /// value.
    void add(const flow_record& record);

    /// The records of a flow, newest end first. Cost: linear in the records held (about 3 ms for 300,000).
    [[nodiscard]] std::vector<flow_record> find(const flow_key& flow) const;

    /// Broken flows that ended at or after `since`, newest first, at most `limit`.
    [[nodiscard]] std::vector<flow_record> broken_since(wall_time since, std::size_t limit) const;

    /// Ended flows of a service, on one upstream unless `upstream` is `no_upstream`, newest first, at most
    /// `limit`.
    [[nodiscard]] std::vector<flow_record> of_service(service_id service, upstream_id upstream,
                                                      std::size_t limit) const;

    /// The moment from which every ended flow is still held; broken flows reach back at least as far as
    /// `broken_reaches_back_to`.
    [[nodiscard]] wall_time reaches_back_to() const noexcept;
    [[nodiscard]] wall_time broken_reaches_back_to() const noexcept;

    [[nodiscard]] std::size_t ended_count() const noexcept { return ended_.size(); }
    [[nodiscard]] std::size_t broken_count() const noexcept { return broken_.size(); }

private:
    [[nodiscard]] compact_flow compact(const flow_record& record);
    [[nodiscard]] flow_record expand(const compact_flow& flow) const;

    flow_history_limits limits_;
    wall_time started_;
    wall_time last_dropped_{};
    wall_time last_broken_dropped_{};
    std::deque<compact_flow> ended_;
    std::deque<compact_flow> broken_;
    value_table<ip_address> owners_;
    value_table<endpoint> services_;
};

/// An accepted change as this daemon saw it.
struct change_record {
    accepted_change change;
    std::optional<wall_time> in_force_at;  ///< when this daemon applied it; unknown for earlier ones

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// The newest accepted changes, at most `limit`. Not thread-safe.
class change_history {
public:
    change_history(std::size_t limit, wall_time started) : limit_(limit), started_(started) {}

    /// Takes over the changes of a head that has come into force. Changes from before the daemon's start have
    /// no time of coming into force.
    void observe(const config_head& head, wall_time now);

    /// Changes that were accepted at or after `since`, oldest first.
    [[nodiscard]] std::vector<change_record> since(wall_time since) const;

    /// Whether changes between the oldest one held and the start of the configuration are missing.
    [[nodiscard]] bool complete_since(wall_time since) const;

private:
    std::size_t limit_;
    wall_time started_;
    bool observed_{false};
    bool gap_{false};
    config_revision seen_{0};
    std::deque<change_record> changes_;
};

/// Text forms used in answers and JSON. Thread-safe.
[[nodiscard]] const char* to_string(placement_reason value) noexcept;
[[nodiscard]] const char* to_string(flow_end value) noexcept;
[[nodiscard]] std::string to_string(const flow_key& value);

/// JSON codec between entry VMs. Decoding error: `malformed`. Thread-safe.
[[nodiscard]] nlohmann::json to_json(const flow_record& record);
[[nodiscard]] result<flow_record> flow_record_from_json(const nlohmann::json& json);

}  // namespace guavaramp
