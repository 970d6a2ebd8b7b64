#pragma once

#include <guavaramp/net/http.hpp>

#include <restinio/all.hpp>

#include <mutex>
#include <unordered_map>

/// Code that the plain, the TLS and the attached HTTP server share. Only sources of this library include it.
namespace guavaramp::http_server_internal {

inline constexpr auto read_timeout = std::chrono::seconds{60};
inline constexpr auto handler_timeout = std::chrono::seconds{60};

inline std::string to_lower_case(std::string_view text) {
    std::string lowered{text};
    for (char& character : lowered) {
        character = restinio::impl::to_lower_case(character);
    }
    return lowered;
}

inline http_request to_http_request(const restinio::request_t& request) {
    http_request converted;
    converted.method = request.header().method().c_str();
    converted.path = std::string{request.header().path()};
    const auto parameters = restinio::try_parse_query<restinio::parse_query_traits::javascript_compatible>(
        request.header().query());
    if (parameters) {
        for (const auto& [name, value] : *parameters) {
            converted.query.emplace(std::string{name}, std::string{value});
        }
    }
    request.header().for_each_field([&converted](const auto& field) {
        converted.headers.emplace(to_lower_case(field.name()), field.value());
    });
    converted.body = request.body();
    converted.peer_address = request.remote_endpoint().address().to_string();
    return converted;
}

inline const char* reason_phrase(int status) noexcept {
    switch (status) {
        case 200:
            return "OK";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 401:
            return "Unauthorized";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 422:
            return "Unprocessable Entity";
        case 429:
            return "Too Many Requests";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        default:
            return "Status";
    }
}

inline void send_response(const restinio::request_handle_t& request, const http_response& response) {
    const restinio::http_status_line_t status{
        restinio::http_status_code_t{static_cast<std::uint16_t>(response.status)},
        reason_phrase(response.status)};
    request->create_response(status)
        .append_header(restinio::http_field::content_type, response.content_type)
        .set_body(response.body)
        .done();
}

/// The requests of one server that have not been answered yet. A responder may outlive the server, but
/// RESTinio's request handle must not, because its connection refers to the server. The server therefore
/// releases all handles through this class when it is destroyed.
class pending_requests {
public:
    std::uint64_t add(restinio::request_handle_t request) {
        const std::lock_guard lock{mutex_};
        requests_.emplace(++last_number_, std::move(request));
        return last_number_;
    }

    /// Sends the response to request `number` and releases its handle, both under the lock, so that the
    /// server cannot be destroyed in between. Does nothing if the handle has been released before.
    void respond(std::uint64_t number, const http_response& response) {
        const std::lock_guard lock{mutex_};
        if (const auto node = requests_.extract(number); !node.empty()) {
            send_response(node.mapped(), response);
        }
    }

    void release(std::uint64_t number) {
        const std::lock_guard lock{mutex_};
        requests_.erase(number);
    }

    void release_all() {
        const std::lock_guard lock{mutex_};
        requests_.clear();
    }

private:
    std::mutex mutex_;
    std::uint64_t last_number_{0};
    std::unordered_map<std::uint64_t, restinio::request_handle_t> requests_;
};

/// A request that has not been answered yet. Its destructor releases the request's handle if the responder is
/// destroyed without having sent a response.
class pending_request {
public:
    pending_request(std::shared_ptr<pending_requests> owner, restinio::request_handle_t request)
        : owner_(std::move(owner)), number_(owner_->add(std::move(request))) {}
    pending_request(const pending_request&) = delete;
    pending_request& operator=(const pending_request&) = delete;
    ~pending_request() { owner_->release(number_); }

    void respond(const http_response& response) { owner_->respond(number_, response); }

private:
    std::shared_ptr<pending_requests> owner_;
    std::uint64_t number_;
};

inline http_responder make_responder(const std::shared_ptr<pending_requests>& owner,
                                     restinio::request_handle_t request) {
    auto pending = std::make_shared<pending_request>(owner, std::move(request));
    return [pending](const http_response& response) { pending->respond(response); };
}

struct plain_traits : restinio::default_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    static constexpr bool use_connection_count_limiter = true;
};

template <typename Traits>
restinio::server_settings_t<Traits> make_settings(const http_server_options& options, http_handler handler,
                                                  std::shared_ptr<pending_requests> pending) {
    restinio::server_settings_t<Traits> settings;
    settings.address(to_string(options.local.address))
        .port(options.local.port)
        .protocol(is_ipv4(options.local.address) ? restinio::asio_ns::ip::tcp::v4()
                                                 : restinio::asio_ns::ip::tcp::v6())
        .read_next_http_message_timelimit(read_timeout)
        .handle_request_timeout(handler_timeout)
        .max_parallel_connections(options.max_connections)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(options.max_body_bytes))
        .request_handler([handler = std::move(handler),
                          pending = std::move(pending)](const restinio::request_handle_t& request) {
            handler(to_http_request(*request), make_responder(pending, request));
            return restinio::request_accepted();
        });
    return settings;
}

}  // namespace guavaramp::http_server_internal
