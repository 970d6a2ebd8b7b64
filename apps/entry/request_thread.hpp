#pragma once

#include "entry_context.hpp"

#include <memory>

namespace guavaramp {

/// The request path of a daemon: takes requests from callers and from other entry VMs, forwards each to the
/// owner of its id, and as the owner admits it and sends it to one upstream. Runs on a thread of its own.
class request_thread {
public:
    /// Adds the routes and starts the thread. `context` must outlive the object.
    explicit request_thread(entry_context& context);

    /// Stops the thread. Requests in progress get no answer; a planned stop waits for
    /// `context.requests_in_progress` to become 0 before.
    ~request_thread();
    request_thread(const request_thread&) = delete;
    request_thread& operator=(const request_thread&) = delete;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace guavaramp
