#include <guavaramp/net/http_router.hpp>

#include <nlohmann/json.hpp>

namespace guavaramp {
namespace {

constexpr int method_not_allowed = 405;

}  // namespace

void http_router::add(const std::string& method, const std::string& path, http_handler handler) {
    handlers_by_path_[path][method] = std::move(handler);
}

void http_router::handle(http_request request, const http_responder& respond) const {
    auto found = handlers_by_path_.find(request.path);
    for (std::string prefix = request.path; found == handlers_by_path_.end() && !prefix.empty();) {
        prefix.pop_back();
        prefix.erase(prefix.rfind('/') == std::string::npos ? 0 : prefix.rfind('/') + 1);
        found = handlers_by_path_.find(prefix);
    }
    if (found == handlers_by_path_.end()) {
        respond(
            error_response({.kind = error_kind::not_found, .message = "no route for path " + request.path}));
        return;
    }
    const auto handler = found->second.find(request.method);
    if (handler == found->second.end()) {
        auto response = error_response({.kind = error_kind::invalid_argument,
                                        .message = "the path does not allow method " + request.method});
        response.status = method_not_allowed;
        respond(std::move(response));
        return;
    }
    handler->second(std::move(request), respond);
}

http_response error_response(const error& failure) {
    const auto& answer = representation_of(failure.kind);
    const nlohmann::json body{{"error", answer.name}, {"message", failure.message}};
    return {.status = answer.http_status,
            .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace guavaramp
