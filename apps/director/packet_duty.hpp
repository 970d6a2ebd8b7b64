#pragma once

#include "director_context.hpp"

#include <guavaramp/base/error.hpp>

#include <memory>

namespace guavaramp {

/// Receives callers' packets, applies the decisions and sends, on a thread of its own.
class packet_duty {
public:
    /// Binds the packet socket and starts the thread. `context` outlives the duty. Errors: `unavailable`.
    [[nodiscard]] static result<std::unique_ptr<packet_duty>> start(director_context& context);

    /// Joins the thread. Precondition: `context.stopped` is set.
    virtual ~packet_duty() = default;
};

}  // namespace guavaramp
