#pragma once

#include "director_context.hpp"

#include <guavaramp/base/error.hpp>

#include <memory>

namespace guavaramp {

/// Reads the platform's store, publishes the configuration, the listing and the membership, serves readiness
/// checks and metrics, and logs the decisions of the packet thread, on its own thread.
class control_thread {
public:
    /// Binds the HTTP addresses and the `news` socket and starts the thread. `context` must outlive this
    /// object. Errors: `unavailable`.
    [[nodiscard]] static result<std::unique_ptr<control_thread>> start(director_context& context);

    /// Joins the thread. Precondition: `context.threads_must_exit` is set.
    virtual ~control_thread() = default;
};

}  // namespace guavaramp
