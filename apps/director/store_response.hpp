#pragma once

#include <guavaramp/net/http.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <string_view>

namespace guavaramp {

/// Returns the body of the store's response, or the error that ended the call or that its HTTP status stands
/// for. The view is valid as long as `response` exists. Thread-safe.
[[nodiscard]] inline result<std::string_view> response_body(const result<http_response>& response) {
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status != 200) {
        return tl::make_unexpected(platform_adapter::error_for_store_status(response->status));
    }
    return std::string_view{response->body};
}

/// Decodes the body of the store's response with `decode`; returns the error of `response_body` if there is
/// no body. Thread-safe.
template <typename Decode>
[[nodiscard]] auto decode_response(const result<http_response>& response, Decode decode)
    -> decltype(decode(std::string_view{})) {
    const auto body = response_body(response);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    return decode(*body);
}

}  // namespace guavaramp
