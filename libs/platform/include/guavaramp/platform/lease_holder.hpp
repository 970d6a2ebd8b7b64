#pragma once

#include <guavaramp/platform/lease_store.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace guavaramp {

/// A lease that makes its holder the only one to do some work, marked by a key that is deleted with the
/// lease. The holder believes in its lease only until a deadline on its own clock, counted from before the
/// call that started or renewed it, so the platform's deadline is never earlier. A process that was paused
/// sees that the deadline has passed before its next action; a write that was already under way carries the
/// lease, and the platform refuses it. Not thread-safe.
class lease_holder {
public:
    using clock = std::function<mono_time()>;

    /// `store` must outlive the holder; `owner` is the key's value, for operators.
    lease_holder(lease_store& store, std::string key, std::string owner, std::chrono::milliseconds duration,
                 clock now);

    /// Acquires the lease, or renews it when less than half of it is left. Returns whether it is held.
    [[nodiscard]] bool acquire_or_renew();

    /// Whether the lease is held now. To be asked before each action.
    [[nodiscard]] bool is_held() const;

    /// Deletes a key under the lease. Errors: `refused` (not held, by the own clock or the platform's), those
    /// of `lease_store::remove_with_lease`.
    [[nodiscard]] result<void> remove(const std::string& key, std::uint64_t if_revision);

private:
    [[nodiscard]] bool acquire();
    [[nodiscard]] mono_time call_deadline() const;

    lease_store& store_;
    std::string key_;
    std::string owner_;
    std::chrono::milliseconds duration_;
    clock now_;
    std::uint64_t lease_{0};
    mono_time held_until_{};
};

}  // namespace guavaramp
