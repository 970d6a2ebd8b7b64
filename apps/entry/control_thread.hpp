#pragma once

#include "entry_context.hpp"

#include <guavaramp/platform/http_key_value_store.hpp>

#include <thread>

namespace guavaramp {

/// The control duty: publishes `context.config` and `context.members`.
class control_thread {
public:
    /// Publishes the local member, so that the packet path can start, and starts the thread.
    explicit control_thread(entry_context& context);
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    /// The platform, for changes by operators. Thread-safe.
    [[nodiscard]] key_value_store& store() noexcept { return store_; }

    /// Applies the platform's current configuration at once; call it after an accepted change. Thread-safe.
    void refresh_now() noexcept { refresh_ = true; }

private:
    void run();
    void load_members();
    void load_config();

    entry_context& context_;
    http_key_value_store store_;
    std::atomic<bool> refresh_{false};
    std::thread thread_;
};

}  // namespace guavaramp
