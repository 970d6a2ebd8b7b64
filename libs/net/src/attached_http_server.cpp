#include "http_server_internal.hpp"

#include <guavaramp/net/attached_http_server.hpp>

namespace guavaramp {
namespace {

using namespace http_server_internal;

class attached_server final : public http_server {
public:
    attached_server(asio::io_context& context, restinio::server_settings_t<plain_traits> settings,
                    std::shared_ptr<pending_requests> pending)
        : pending_(std::move(pending)), server_(restinio::external_io_context(context), std::move(settings)) {
        server_.open_sync();
    }

    attached_server(const attached_server&) = delete;
    attached_server& operator=(const attached_server&) = delete;

    ~attached_server() override {
        pending_->release_all();
        server_.close_sync();
    }

private:
    std::shared_ptr<pending_requests> pending_;
    restinio::http_server_t<plain_traits> server_;
};

}  // namespace

result<std::unique_ptr<http_server>> attach_http_server(asio::io_context& context,
                                                        const http_server_options& options,
                                                        http_handler handler) {
    auto pending = std::make_shared<pending_requests>();
    try {
        return std::make_unique<attached_server>(
            context, make_settings<plain_traits>(options, std::move(handler), pending), pending);
    } catch (const std::exception& failure) {
        return fail(error_kind::unavailable,
                    "cannot serve HTTP on " + to_string(options.local) + ": " + failure.what());
    }
}

}  // namespace guavaramp
