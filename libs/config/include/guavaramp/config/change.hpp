#pragma once

#include <guavaramp/config/model.hpp>
#include <guavaramp/platform/key_value_store.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace guavaramp {

/// Names an upstream as operators write it: "dispatch/h07".
struct upstream_name {
    std::string service;
    std::string name;

    friend bool operator==(const upstream_name&, const upstream_name&) = default;
};

struct add_service_change {
    std::string name;
    endpoint address;
    transport protocol{transport::tcp};
    work_class urgency{work_class::normal};

    friend bool operator==(const add_service_change&, const add_service_change&) = default;
};

/// Retires all upstreams of a service; repeated after their retention, it frees the service's name and
/// address. A service that never had an upstream goes at once.
struct remove_service_change {
    std::string name;

    friend bool operator==(const remove_service_change&, const remove_service_change&) = default;
};

struct add_upstream_change {
    upstream_name target;
    endpoint packet_address;
    endpoint request_address;
    std::string failure_domain;
    std::uint32_t weight{100};

    friend bool operator==(const add_upstream_change&, const add_upstream_change&) = default;
};

/// Retires an upstream: its open flows go on for `upstream_retention`.
struct remove_upstream_change {
    upstream_name target;

    friend bool operator==(const remove_upstream_change&, const remove_upstream_change&) = default;
};

/// Drains at once, or at an absolute time.
struct drain_change {
    upstream_name target;
    std::optional<wall_time> at;

    friend bool operator==(const drain_change&, const drain_change&) = default;
};

/// Makes a draining upstream active again and cancels a planned drain.
struct undrain_change {
    upstream_name target;

    friend bool operator==(const undrain_change&, const undrain_change&) = default;
};

struct set_weight_change {
    upstream_name target;
    std::uint32_t weight{100};

    friend bool operator==(const set_weight_change&, const set_weight_change&) = default;
};

struct set_class_change {
    std::string service;
    work_class urgency{work_class::normal};

    friend bool operator==(const set_class_change&, const set_class_change&) = default;
};

/// Adds the services and upstreams that are missing and sets class and weight of the others, in one accepted
/// revision. Removes nothing. Ids, states and revisions of the given services are ignored.
struct load_change {
    std::vector<service> services;

    friend bool operator==(const load_change&, const load_change&) = default;
};

using change_command =
    std::variant<add_service_change, remove_service_change, add_upstream_change, remove_upstream_change,
                 drain_change, undrain_change, set_weight_change, set_class_change, load_change>;

/// How long a retired upstream forwards packets of open flows (design section 5).
inline constexpr std::chrono::hours upstream_retention{24};

/// Least time between the removal of an address from a service and its use by another (design section 5).
inline constexpr std::chrono::seconds address_reuse_delay{60};

inline constexpr std::uint32_t least_weight = 1;
inline constexpr std::uint32_t most_weight = 10'000;

/// The revision that an entry VM of the VM list last reported in force; 0 when it reported none.
struct reported_revision {
    std::string entry;
    config_revision revision{0};

    friend bool operator==(const reported_revision&, const reported_revision&) = default;
};

/// What a plan depends on besides the configuration.
struct change_facts {
    wall_time now{};
    std::string change_id;                   ///< unique; tells whose write took effect
    std::vector<reported_revision> entries;  ///< every entry VM of the VM list
    /// The new revision is at least this one; skips a revision whose service value another writer left
    /// behind.
    config_revision least_revision{0};
};

/// A checked change: the values to write and the head that names them.
struct planned_change {
    std::vector<service> values;        ///< new service values; empty when a service is dropped from the head
    std::vector<std::string> services;  ///< services that the change reads and writes
    config_head head;
    std::string summary;

    friend bool operator==(const planned_change&, const planned_change&) = default;
};

/// The command in the operators' language. Thread-safe.
[[nodiscard]] std::string to_string(const change_command& command);

/// Whether the plan looks at `change_facts::entries`. Thread-safe.
[[nodiscard]] bool needs_entries(const change_command& command) noexcept;

/// Checks a change against `base` and returns what would be written. Errors: `not_found` (with the nearest
/// name), `refused` (a check of design section 8, or nothing to change), `invalid_argument`. The message
/// quotes the offending name first. Thread-safe.
[[nodiscard]] result<planned_change> plan_change(const configuration& base, const change_command& command,
                                                 const change_facts& facts);

/// Reads the configuration that the head names. Values that `known` holds at the head's revision are not read
/// again. An absent head is an empty configuration. Errors: those of the store, `malformed`.
struct stored_configuration {
    configuration value;
    std::uint64_t head_revision{0};  ///< the store's revision of the head key
};
[[nodiscard]] result<stored_configuration> read_configuration(key_value_store& store,
                                                              const configuration& known, mono_time deadline);

struct committed_change {
    config_revision revision{0};
    std::string change_id;
    std::string summary;
    /// The configuration of that revision; absent when a lost answer was resolved by reading back.
    std::optional<configuration> accepted;

    friend bool operator==(const committed_change&, const committed_change&) = default;
};

/// How `commit_change` waits and knows the time; tests pass their own.
struct commit_clock {
    std::function<mono_time()> now;
    std::function<void(std::chrono::milliseconds)> pause;
};

/// Plans `command` on the head in the store, writes the service values (create only) and swaps the head. A
/// lost answer is resolved by reading back and comparing change ids. When another service changed, the change
/// is planned again on the new head. Errors: those of `plan_change`; `conflict` when a service of this change
/// changed meanwhile (the message says what changed); `unavailable` and `deadline_exceeded` when the change
/// was certainly not accepted; `outcome_unknown` when it may have been. Blocks until `deadline` at the
/// latest. Thread-safe when the store is.
[[nodiscard]] result<committed_change> commit_change(key_value_store& store, const configuration& known,
                                                     const change_command& command, change_facts facts,
                                                     mono_time deadline, const commit_clock& clock);

}  // namespace guavaramp
