#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/call_limits.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/net/http.hpp>

#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}  // namespace asio

namespace guavaramp {

/// An HTTP/1.1 client with a single connection that it keeps open between calls, for programs that already
/// run an Asio context. It makes one call at a time. A call that fails closes the connection, so that a late
/// response cannot be mistaken for the response to the next call. A session must be used on the context's
/// thread only, and the context must outlive it.
class http_session {
public:
    using handler = std::function<void(result<http_response>)>;

    http_session(asio::io_context& context, const endpoint& peer);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /// Sends a GET request without a body. `done`, errors and precondition are those of `post`.
    void get(const std::string& target, mono_time deadline, handler done);

    /// Sends a GET request like the overload above, with separate limits for the first byte of the response,
    /// for pauses while it arrives, and for the whole call.
    void get(const std::string& target, const call_limits& limits, handler done);

    /// Sends a POST request with a JSON body. `done` runs once, after `post` has returned, unless the session
    /// is destroyed first. Errors given to `done`: `unavailable`, `malformed` (the response is not HTTP or is
    /// longer than the limit), `deadline_exceeded`. The peer may have received the request in all of these
    /// cases. Precondition: `!is_busy()`.
    void post(const std::string& target, const std::string& body, mono_time deadline, handler done);

    /// Cancels the call in progress, if any, without running its `done`.
    void cancel();

    /// Returns whether a call is in progress.
    [[nodiscard]] bool is_busy() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace guavaramp
