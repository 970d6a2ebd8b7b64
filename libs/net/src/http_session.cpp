#include <guavaramp/net/http_session.hpp>

#include <asio.hpp>
#include <http_parser.h>
#include <netinet/tcp.h>

#include <array>
#include <string_view>

namespace guavaramp {
namespace {

using asio::ip::tcp;

/// Size of the longest response body that is accepted: four pages of the platform's store.
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr std::size_t read_chunk_bytes = 8192;

// A connection can stop working for good while new connections still work. TCP keep-alive probes detect this
// within two seconds, so that a call that waits long for its response does not hang.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;
constexpr unsigned tcp_user_timeout_ms = 2000;

tcp::endpoint to_asio(const endpoint& value) {
    if (is_ipv4(value.address)) {
        return {asio::ip::address_v4{to_ipv4(value.address)}, value.port};
    }
    return {asio::ip::address_v6{value.address.bytes}, value.port};
}

}  // namespace

struct http_session::state : std::enable_shared_from_this<state> {
    state(asio::io_context& context, const endpoint& remote) : peer(remote), socket(context), timer(context) {
        http_parser_settings_init(&callbacks);
        callbacks.on_body = [](http_parser* source, const char* at, std::size_t length) {
            auto& body = static_cast<state*>(source->data)->response.body;
            body.append(at, length);
            return body.size() > max_body_bytes ? 1 : 0;
        };
        callbacks.on_header_field = [](http_parser* source, const char* at, std::size_t length) {
            static_cast<state*>(source->data)->add_to_header_name({at, length});
            return 0;
        };
        callbacks.on_header_value = [](http_parser* source, const char* at, std::size_t length) {
            auto& self = *static_cast<state*>(source->data);
            self.in_header_value = true;
            self.header_value.append(at, length);
            self.response.headers[self.header_name] = self.header_value;
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* source) {
            static_cast<state*>(source->data)->is_complete = true;
            return 0;
        };
    }

    void start(std::string message, const call_limits& new_limits, handler callback) {
        ++call_number;
        done = std::move(callback);
        response = {};
        header_name.clear();
        header_value.clear();
        in_header_value = false;
        is_complete = false;
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        request = std::move(message);
        limits = new_limits;
        last_byte_at = {};
        wait_for_timeout();
        if (is_connected) {
            write();
        } else {
            connect();
        }
    }

    /// Adds a piece of a header's name, which may arrive in several pieces. The parser limits the length of
    /// all headers together to 80 KiB.
    void add_to_header_name(std::string_view piece) {
        if (std::exchange(in_header_value, false)) {
            header_name.clear();
            header_value.clear();
        }
        for (const char character : piece) {
            const bool is_upper_case = character >= 'A' && character <= 'Z';
            header_name.push_back(is_upper_case ? static_cast<char>(character - 'A' + 'a') : character);
        }
    }

    /// Waits until the call times out. Arriving bytes do not restart the timer; instead, a timer that expires
    /// before the current timeout is started again.
    void wait_for_timeout() {
        timer.expires_at(timeout_at(limits, last_byte_at));
        timer.async_wait([self = shared_from_this(), number = call_number](const std::error_code& failure) {
            if (failure || self->call_number != number) {
                return;
            }
            if (std::chrono::steady_clock::now() < timeout_at(self->limits, self->last_byte_at)) {
                self->wait_for_timeout();
                return;
            }
            self->finish(
                fail(error_kind::deadline_exceeded, "no response in time from " + to_string(self->peer)));
        });
    }

    void connect() {
        socket.async_connect(
            to_asio(peer), [self = shared_from_this(), number = call_number](const std::error_code& failure) {
                if (self->call_number != number || !self->done) {
                    return;
                }
                if (failure) {
                    self->finish(fail(error_kind::unavailable, "cannot connect to " + to_string(self->peer) +
                                                                   ": " + failure.message()));
                    return;
                }
                self->is_connected = true;
                self->set_socket_options();
                self->write();
            });
    }

    /// Sets options that only reduce latency and detect broken connections. Errors are ignored, because calls
    /// also work without the options.
    void set_socket_options() {
        std::error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        socket.set_option(asio::socket_base::keep_alive{true}, ignored);
        const int handle = socket.native_handle();
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_s, sizeof keep_alive_idle_s);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_s, sizeof keep_alive_interval_s);
        setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes, sizeof keep_alive_probes);
        setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
    }

    void write() {
        asio::async_write(socket, asio::buffer(request),
                          [self = shared_from_this(), number = call_number](const std::error_code& failure,
                                                                            std::size_t /*sent*/) {
                              if (self->call_number != number || !self->done) {
                                  return;
                              }
                              if (failure) {
                                  self->finish_with_connection_error(failure);
                              } else {
                                  self->read();
                              }
                          });
    }

    void read() {
        socket.async_read_some(asio::buffer(chunk),
                               [self = shared_from_this(), number = call_number](
                                   const std::error_code& failure, std::size_t received) {
                                   if (self->call_number != number || !self->done) {
                                       return;
                                   }
                                   if (failure) {
                                       self->finish_with_connection_error(failure);
                                   } else {
                                       self->parse(received);
                                   }
                               });
    }

    void parse(std::size_t received) {
        last_byte_at = std::chrono::steady_clock::now();
        const auto parsed = http_parser_execute(&parser, &callbacks, chunk.data(), received);
        if (HTTP_PARSER_ERRNO(&parser) != HPE_OK || (parsed != received && !is_complete)) {
            finish(
                fail(error_kind::malformed, "malformed or too long HTTP response from " + to_string(peer)));
            return;
        }
        if (!is_complete) {
            read();
            return;
        }
        response.status = static_cast<int>(parser.status_code);
        const bool keep_connection = http_should_keep_alive(&parser) != 0 && parsed == received;
        finish(std::move(response), keep_connection);
    }

    void finish_with_connection_error(const std::error_code& failure) {
        finish(fail(error_kind::unavailable,
                    "the connection to " + to_string(peer) + " failed: " + failure.message()));
    }

    void finish(result<http_response> outcome, bool keep_connection = false) {
        ++call_number;
        timer.cancel();
        if (!keep_connection) {
            close();
        }
        auto callback = std::exchange(done, nullptr);
        if (callback) {
            callback(std::move(outcome));
        }
    }

    void close() {
        is_connected = false;
        std::error_code ignored;  // the socket is discarded even if closing it fails
        socket.close(ignored);
    }

    endpoint peer;
    tcp::socket socket;
    asio::steady_timer timer;
    http_parser parser{};
    http_parser_settings callbacks{};
    std::array<char, read_chunk_bytes> chunk{};
    std::string request;
    call_limits limits;
    mono_time last_byte_at{};  ///< arrival of the response's latest bytes; `mono_time{}` before the first
    http_response response;
    std::string header_name;   ///< of the header that is being received
    std::string header_value;  ///< of the same header, as far as received
    bool in_header_value{false};
    handler done;
    std::uint64_t call_number{0};
    bool is_connected{false};
    bool is_complete{false};
};

http_session::http_session(asio::io_context& context, const endpoint& peer)
    : state_(std::make_shared<state>(context, peer)) {}

http_session::~http_session() { cancel(); }

void http_session::cancel() {
    state_->done = nullptr;
    state_->finish(fail(error_kind::cancelled, "the call was cancelled"));
}

void http_session::get(const std::string& target, mono_time deadline, handler done) {
    get(target, limits_until(deadline), std::move(done));
}

void http_session::get(const std::string& target, const call_limits& limits, handler done) {
    state_->start("GET " + target + " HTTP/1.1\r\nHost: " + to_string(state_->peer) + "\r\n\r\n", limits,
                  std::move(done));
}

void http_session::post(const std::string& target, const std::string& body, mono_time deadline,
                        handler done) {
    state_->start("POST " + target + " HTTP/1.1\r\nHost: " + to_string(state_->peer) +
                      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body,
                  limits_until(deadline), std::move(done));
}

bool http_session::is_busy() const noexcept { return state_->done != nullptr; }

}  // namespace guavaramp
