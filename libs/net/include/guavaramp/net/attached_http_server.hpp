#pragma once

#include <guavaramp/net/http.hpp>

#include <memory>

namespace asio {
class io_context;
}  // namespace asio

namespace guavaramp {

/// Starts a plain HTTP server that runs on `context`, for programs that do all their input and output on one
/// thread. Ignores the options `threads`, `certificate_file` and `private_key_file`. Handlers run on the
/// context's thread. The server must be destroyed before the context, and either on the context's thread or
/// after that thread has ended. Errors: `unavailable` (the address cannot be bound).
[[nodiscard]] result<std::unique_ptr<http_server>> attach_http_server(asio::io_context& context,
                                                                      const http_server_options& options,
                                                                      http_handler handler);

}  // namespace guavaramp
