#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace guavaramp {

/// Holds the latest immutable value that one thread publishes and other threads get. Thread-safe. A thread on
/// a hot path keeps the pointer and calls `get_if_changed`.
template <typename T>
class published_value {
public:
    /// Replaces the current value by `value` and increments the version.
    void set(std::shared_ptr<const T> value) {
        const std::lock_guard lock{mutex_};
        value_ = std::move(value);
        version_.fetch_add(1, std::memory_order_release);
    }

    /// Returns the latest value, or null before the first `set`.
    [[nodiscard]] std::shared_ptr<const T> get() const {
        const std::lock_guard lock{mutex_};
        return value_;
    }

    /// Returns the latest value and sets `known_version` to its version if the current version differs from
    /// `known_version`; returns null otherwise. A caller that has read no value yet passes 0.
    [[nodiscard]] std::shared_ptr<const T> get_if_changed(std::uint64_t& known_version) const {
        const auto latest = version();
        if (latest == known_version) {
            return nullptr;
        }
        known_version = latest;
        return get();
    }

    /// Returns the number of calls of `set` so far.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_.load(std::memory_order_acquire); }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_;
    std::atomic<std::uint64_t> version_{0};
};

}  // namespace guavaramp
