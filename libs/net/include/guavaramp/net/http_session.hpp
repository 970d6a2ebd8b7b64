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

/// An HTTP/1.1 client on one connection that it keeps open between calls, for programs that already run an
/// Asio context. One call at a time. A call that fails closes the connection, so that a late answer cannot be
/// taken for that of the next call. To be used on the context's thread only; the context outlives it.
class http_session {
public:
    using handler = std::function<void(result<http_response>)>;

    http_session(asio::io_context& context, const endpoint& peer);
    ~http_session();
    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;

    /// Sends a request without a body; otherwise as `post`.
    void get(const std::string& target, mono_time deadline, handler done);

    /// The same with separate limits for the answer's start, its progress and its end.
    void get(const std::string& target, const call_limits& limits, handler done);

    /// Sends a request with a JSON body. `done` runs once, later, unless the session is destroyed before.
    /// Errors given to `done`: `unavailable`, `malformed` (no HTTP answer, or one longer than the limit),
    /// `deadline_exceeded`. The peer may have received the request in all of these cases. Precondition:
    /// `!is_busy()`.
    void post(const std::string& target, const std::string& body, mono_time deadline, handler done);

    /// Gives up the call in progress, if any; its `done` does not run.
    void cancel();

    /// Whether a call is in progress.
    [[nodiscard]] bool is_busy() const noexcept;

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace guavaramp
