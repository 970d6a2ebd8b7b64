#pragma once

#include "director_context.hpp"

#include <guavaramp/base/error.hpp>

#include <memory>

namespace guavaramp {

/// Receives callers' packets, decides where each goes and forwards it, on its own thread.
class packet_thread {
public:
    /// Binds the `packets` and `peers` sockets and starts the thread. `context` must outlive this object.
    /// Errors: `unavailable`.
    [[nodiscard]] static result<std::unique_ptr<packet_thread>> start(director_context& context);

    /// Joins the thread. Precondition: `context.threads_must_exit` is set.
    virtual ~packet_thread() = default;
};

}  // namespace guavaramp
