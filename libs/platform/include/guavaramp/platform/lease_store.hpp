#pragma once

#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace guavaramp {

/// The platform's leases. A write with a lease is refused once the lease has ended, and a key that was
/// written with a lease is deleted with it. Calls block until an answer or `deadline`. Errors of every call:
/// `unavailable`, `deadline_exceeded`, `outcome_unknown`, `refused` (the lease has ended). Thread-safe.
class lease_store {
public:
    virtual ~lease_store() = default;

    /// Starts a lease that ends `duration` after the platform received the call. Returns its id, not 0.
    [[nodiscard]] virtual result<std::uint64_t> grant_lease(std::chrono::milliseconds duration,
                                                            mono_time deadline) = 0;

    /// Moves the lease's end to its duration from when the platform received the call.
    [[nodiscard]] virtual result<void> renew_lease(std::uint64_t lease, mono_time deadline) = 0;

    /// As `key_value_store::put`, under a lease.
    [[nodiscard]] virtual result<std::uint64_t> put_with_lease(const std::string& key,
                                                               const std::string& value,
                                                               std::uint64_t if_revision, std::uint64_t lease,
                                                               mono_time deadline) = 0;

    /// As `key_value_store::remove`, under a lease.
    [[nodiscard]] virtual result<void> remove_with_lease(const std::string& key, std::uint64_t if_revision,
                                                         std::uint64_t lease, mono_time deadline) = 0;
};

}  // namespace guavaramp
