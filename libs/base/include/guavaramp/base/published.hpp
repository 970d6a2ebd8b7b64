#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace guavaramp {

/// The latest immutable value that one thread publishes and others read. Thread-safe. A reader on a hot path
/// keeps the pointer and calls `get` again only when `version` has changed.
template <typename T>
class published {
public:
    void set(std::shared_ptr<const T> value) {
        const std::lock_guard lock{mutex_};
        value_ = std::move(value);
        version_.fetch_add(1, std::memory_order_release);
    }

    /// The latest value; null before the first `set`.
    [[nodiscard]] std::shared_ptr<const T> get() const {
        const std::lock_guard lock{mutex_};
        return value_;
    }

    /// The latest value when it is not the one that `known` stands for, which is brought up to date; null
    /// otherwise. 0 stands for none.
    [[nodiscard]] std::shared_ptr<const T> get_newer(std::uint64_t& known) const {
        const auto latest = version();
        if (latest == known) {
            return nullptr;
        }
        known = latest;
        return get();
    }

    [[nodiscard]] std::uint64_t version() const noexcept { return version_.load(std::memory_order_acquire); }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> value_;
    std::atomic<std::uint64_t> version_{0};
};

}  // namespace guavaramp
