#include "http_server_internal.hpp"

#include <restinio/tls.hpp>

#include <thread>
#include <vector>

namespace guavaramp {
namespace {

using namespace http_server_internal;

struct tls_traits : restinio::default_tls_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    static constexpr bool use_connection_count_limiter = true;
};

/// An HTTP server that owns its I/O context and the threads that run it. The context outlives the RESTinio
/// server.
template <typename Traits>
class running_server final : public http_server {
public:
    running_server(restinio::server_settings_t<Traits> settings, std::size_t threads,
                   std::shared_ptr<pending_requests> pending)
        : pending_(std::move(pending)),
          server_(restinio::external_io_context(context_), std::move(settings)) {
        server_.open_sync();
        for (std::size_t index = 0; index < std::max<std::size_t>(1, threads); ++index) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;

    ~running_server() override {
        restinio::asio_ns::post(context_, [this] {
            server_.close_sync();
            context_.stop();
        });
        for (auto& thread : threads_) {
            thread.join();
        }
        pending_->release_all();
    }

private:
    std::shared_ptr<pending_requests> pending_;
    restinio::asio_ns::io_context context_;
    restinio::http_server_t<Traits> server_;
    std::vector<std::thread> threads_;
};

}  // namespace

result<std::unique_ptr<http_server>> start_http_server(const http_server_options& options,
                                                       http_handler handler) {
    auto pending = std::make_shared<pending_requests>();
    try {
        if (options.certificate_file.empty()) {
            return std::make_unique<running_server<plain_traits>>(
                make_settings<plain_traits>(options, std::move(handler), pending), options.threads, pending);
        }
        restinio::asio_ns::ssl::context tls{restinio::asio_ns::ssl::context::tls_server};
        tls.use_certificate_chain_file(options.certificate_file);
        tls.use_private_key_file(options.private_key_file, restinio::asio_ns::ssl::context::pem);
        auto settings = make_settings<tls_traits>(options, std::move(handler), pending);
        settings.tls_context(std::move(tls));
        return std::make_unique<running_server<tls_traits>>(std::move(settings), options.threads, pending);
    } catch (const std::exception& failure) {
        return fail(error_kind::unavailable,
                    "cannot serve HTTP on " + to_string(options.local) + ": " + failure.what());
    }
}

}  // namespace guavaramp
