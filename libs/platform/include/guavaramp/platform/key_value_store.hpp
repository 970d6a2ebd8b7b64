#pragma once

#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavaramp {

/// A value with the store's revision of its key.
struct stored_value {
    std::string value;
    std::uint64_t revision{0};

    friend bool operator==(const stored_value&, const stored_value&) = default;
};

/// An entry VM in the platform's list.
struct listed_vm {
    std::string address;
    std::string failure_domain;
    std::string region;
    bool leaving{false};

    friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

/// The platform as the decisions see it; tests put a fake in its place. Calls block until an answer or
/// `deadline`. Errors of every call: `unavailable`, `deadline_exceeded`. Thread-safe.
class key_value_store {
public:
    virtual ~key_value_store() = default;

    /// The value of a key, or nothing when it does not exist.
    [[nodiscard]] virtual result<std::optional<stored_value>> get(const std::string& key,
                                                                  mono_time deadline) = 0;

    /// Writes when the key's revision is `if_revision` (0: does not exist) and returns the new revision.
    /// Errors: `conflict` (another revision), `outcome_unknown` (the answer was lost; read back before
    /// anything else).
    [[nodiscard]] virtual result<std::uint64_t> put(const std::string& key, const std::string& value,
                                                    std::uint64_t if_revision, mono_time deadline) = 0;

    /// Deletes when the key's revision is `if_revision`. Errors as `put`.
    [[nodiscard]] virtual result<void> remove(const std::string& key, std::uint64_t if_revision,
                                              mono_time deadline) = 0;

    /// Waits until the key's revision exceeds `after`; nothing at the deadline.
    [[nodiscard]] virtual result<std::optional<stored_value>> watch(const std::string& key,
                                                                    std::uint64_t after,
                                                                    mono_time deadline) = 0;

    /// The keys below a prefix with their revisions.
    [[nodiscard]] virtual result<std::vector<std::pair<std::string, std::uint64_t>>> list(
        const std::string& prefix, mono_time deadline) = 0;

    /// The VM list, which lags behind the truth.
    [[nodiscard]] virtual result<std::vector<listed_vm>> vms(mono_time deadline) = 0;
};

}  // namespace guavaramp
