#pragma once

#include "director_context.hpp"

#include <guavaramp/base/error.hpp>

#include <memory>

namespace guavaramp {

/// Reads the platform's store, publishes what it says, answers readiness and metrics, and writes the log, on
/// a thread of its own.
class control_duty {
public:
    /// Binds the HTTP addresses and starts the thread. `context` outlives the duty. Errors: `unavailable`.
    [[nodiscard]] static result<std::unique_ptr<control_duty>> start(director_context& context);

    /// Joins the thread. Precondition: `context.stopped` is set.
    virtual ~control_duty() = default;
};

}  // namespace guavaramp
