#pragma once

#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/platform/key_value_store.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavaramp {

/// Largest value that the platform stores.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// The stand-in platform's key-value service and VM list in memory. Revisions come from one counter, so a key
/// that was deleted and created again never repeats one. Not thread-safe: the server locks around it. Calls
/// with a `now` end the leases that are past their deadline first, and delete their keys.
class memory_store {
public:
    [[nodiscard]] std::optional<stored_value> get(const std::string& key, mono_time now);

    /// Writes when the key's revision is `if_revision` (0: does not exist). A write with a lease (not 0) is
    /// refused once the lease has ended, and the key is deleted with the lease. Errors: `conflict`, `refused`
    /// (the lease has ended), `invalid_argument` (the value is too large).
    [[nodiscard]] result<std::uint64_t> put(const std::string& key, const std::string& value,
                                            std::uint64_t if_revision, std::uint64_t lease, mono_time now);

    /// Deletes when the key's revision is `if_revision`. Errors: `conflict`, `refused` (the lease has ended).
    [[nodiscard]] result<void> remove(const std::string& key, std::uint64_t if_revision, std::uint64_t lease,
                                      mono_time now);

    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> list(const std::string& prefix,
                                                                          mono_time now);

    /// Starts a lease that ends at `now` + `duration` unless it is renewed. Returns its id, which is not 0.
    [[nodiscard]] std::uint64_t grant_lease(std::chrono::milliseconds duration, mono_time now);

    /// Moves the lease's end to `now` + its duration. Errors: `refused` (the lease has ended).
    [[nodiscard]] result<void> renew_lease(std::uint64_t lease, mono_time now);

    /// Ends a lease and deletes its keys; does nothing when it has already ended.
    void end_lease(std::uint64_t lease);

    /// Records that a VM joined or changed, or left the list (`vm` is empty), at `now`.
    void set_vm(const std::string& address, std::optional<listed_vm> vm, mono_time now);

    /// The VM list as it was `lag` before `now`, by address.
    [[nodiscard]] std::vector<listed_vm> vms(std::chrono::milliseconds lag, mono_time now) const;

private:
    struct item {
        stored_value stored;
        std::uint64_t lease{0};
    };
    struct lease_state {
        std::chrono::milliseconds duration{0};
        mono_time deadline;
    };
    struct vm_change {
        mono_time at;
        std::string address;
        std::optional<listed_vm> vm;
    };

    void end_leases(mono_time now);
    [[nodiscard]] result<void> check(const std::string& key, std::uint64_t if_revision,
                                     std::uint64_t lease) const;

    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease_state> leases_;
    std::vector<vm_change> vm_changes_;
    std::uint64_t last_revision_{0};
    std::uint64_t last_lease_{0};
};

}  // namespace guavaramp
