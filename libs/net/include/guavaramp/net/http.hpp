#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace guavaramp {

/// A request as a server received it. `query` holds the decoded query parameters; the names in `headers` are
/// in lower case.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    std::string peer_address;
};

struct http_response {
    int status{200};
    std::string content_type{"application/json"};
    std::string body;
    /// Headers that `http_session` has received, with names in lower case; the last of several with one name.
    /// Servers send none of them, and `http_client` leaves them out.
    std::map<std::string, std::string> headers{};
};

/// Sends the response to a request. May be called from any thread at any later time; only the first call has
/// an effect.
using http_responder = std::function<void(http_response)>;

/// Handles a request. The server calls it on its threads, several of them concurrently; it must not block for
/// long.
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
    endpoint local;
    std::size_t threads{1};
    std::size_t max_body_bytes{1U << 20U};
    std::size_t max_connections{4096};
    std::string certificate_file;  ///< PEM; empty for plain HTTP
    std::string private_key_file;  ///< PEM; used when `certificate_file` is set
};

/// A running HTTP/1.1 server; its destructor stops it. Thread-safe.
class http_server {
public:
    virtual ~http_server() = default;
};

/// Starts a server on threads of its own. Errors: `unavailable` (the address cannot be bound, or the key
/// files cannot be read).
[[nodiscard]] result<std::unique_ptr<http_server>> start_http_server(const http_server_options& options,
                                                                     http_handler handler);

/// A request that a client sends. The call ends at `deadline` at the latest.
struct http_call {
    std::string method{"GET"};
    std::string url;
    std::string body;
    std::map<std::string, std::string> headers;
    mono_time deadline{};
    std::string ca_file;  ///< PEM trust anchors for https URLs; empty for those of the system
    /// Whether the request is sent on a new connection, so that it reaches the peer at most once. On a reused
    /// connection that closes before the first byte of the response, libcurl sends the request again,
    /// although the peer may already have executed it.
    bool at_most_once{false};
};

/// The result of a call. `request_may_have_been_sent` is true if a byte of the request may have reached the
/// peer. If it is false and the call has `at_most_once` set, the peer has certainly received nothing; for
/// other calls it covers only the last connection.
struct http_outcome {
    result<http_response> response;
    bool request_may_have_been_sent{false};
};

struct http_client_options {
    std::string local_address;  ///< numeric source address of connections; empty lets the system choose
};

/// An HTTP client that runs on one thread of its own and reuses connections (libcurl's multi interface).
class http_client {
public:
    http_client() : http_client(http_client_options{}) {}
    explicit http_client(const http_client_options& options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call and returns its number, which `cancel` takes. `done` runs once, on the client's thread.
    /// Errors given to `done`: `unavailable`, `deadline_exceeded`, `cancelled`. Thread-safe.
    std::uint64_t start(http_call call, std::function<void(http_outcome)> done);

    /// Cancels the call `call_number` by closing its connection. The call's `done` runs with the error
    /// `cancelled` unless it has already run. Thread-safe.
    void cancel(std::uint64_t call_number);

    /// Runs a call, waits for its end and returns its outcome. Must not be called on the client's own thread.
    /// Thread-safe.
    [[nodiscard]] http_outcome run(http_call call);

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace guavaramp
