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

/// A request as received. `query` holds decoded parameters; header names are lower case.
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
};

/// Answers a request once, from any thread, at any later time. A second call does nothing.
using http_responder = std::function<void(http_response)>;

/// Handles a request. Called on the server's threads, several at once; must not block for long.
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
    endpoint local;
    std::size_t threads{1};
    std::size_t max_body_bytes{1U << 20U};
    std::size_t max_connections{4096};
    std::string certificate_file;  ///< PEM; empty means plain HTTP
    std::string private_key_file;  ///< PEM; used when `certificate_file` is set
};

/// An HTTP/1.1 server on its own threads; stops when destroyed. Thread-safe.
class http_server {
public:
    virtual ~http_server() = default;
};

/// Starts a server. Errors: `unavailable` (the address cannot be bound), `invalid_argument` (bad key files).
[[nodiscard]] result<std::unique_ptr<http_server>> start_http_server(const http_server_options& options,
                                                                     http_handler handler);

/// A request to send. The call ends at `deadline` at the latest.
struct http_call {
    std::string method{"GET"};
    std::string url;
    std::string body;
    std::map<std::string, std::string> headers;
    mono_time deadline{};
    std::string ca_file;  ///< PEM trust anchor for https URLs; empty means the system's
    /// Sends the request on a new connection. libcurl sends a request again when a reused connection closes
    /// before the first byte of the answer, although the peer may have run it.
    bool at_most_once{false};
};

/// The result of a call. `sent_request` tells whether a byte of the request may have reached the peer: false
/// means that the peer certainly saw nothing.
struct http_outcome {
    result<http_response> response;
    bool sent_request{false};
};

struct http_client_options {
    std::string local_address;  ///< numeric source address of connections; empty means the system's choice
};

/// An HTTP client (libcurl multi interface) on one thread of its own, with connection reuse.
class http_client {
public:
    http_client() : http_client(http_client_options{}) {}
    explicit http_client(const http_client_options& options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call; `done` runs once on the client's thread. Returns a number for `cancel`. Errors given to
    /// `done`: `unavailable`, `deadline_exceeded`, `cancelled`. Thread-safe.
    std::uint64_t start(http_call call, std::function<void(http_outcome)> done);

    /// Ends a call by closing its connection; `done` runs with `cancelled` unless it already ran.
    /// Thread-safe.
    void cancel(std::uint64_t call_number);

    /// Runs a call and waits for its outcome. Not to be called on the client's own thread. Thread-safe.
    [[nodiscard]] http_outcome run(http_call call);

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace guavaramp
