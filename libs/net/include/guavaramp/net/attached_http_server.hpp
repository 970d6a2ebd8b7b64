#pragma once

#include <guavaramp/net/http.hpp>

#include <memory>

namespace asio {
class io_context;
}  // namespace asio

namespace guavaramp {

/// Starts a plain HTTP server on the caller's Asio context, for programs with one thread for all their input
/// and output; `threads` and the key files of the options are not used. Handlers run on the context's thread.
/// The server must be destroyed on that thread or after it has ended, and before the context. Errors:
/// `unavailable` (the address cannot be bound).
[[nodiscard]] result<std::unique_ptr<http_server>> attach_http_server(asio::io_context& context,
                                                                      const http_server_options& options,
                                                                      http_handler handler);

}  // namespace guavaramp
