#pragma once

#include <guavaramp/net/http.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace guavaramp {

/// HTTP statuses from this one on mean that the store could not handle the call. A server in front of the
/// store may have answered, which states no era.
inline constexpr int first_failure_status = 429;

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

/// Returns the era that the store's response states. Errors: that of `response`, or `malformed`. Thread-safe.
[[nodiscard]] inline result<std::uint64_t> response_era(const result<http_response>& response) {
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    const auto header = response->headers.find(std::string{platform_adapter::era_header});
    return platform_adapter::decode_era(header == response->headers.end() ? std::string_view{}
                                                                          : header->second);
}

/// Decodes the store's response with `decode`, which takes the body and, if it returns revisions, the era;
/// returns the error of `response_body` or `response_era` if one is missing. Thread-safe.
template <typename... Arguments, typename Decoded>
[[nodiscard]] Decoded decode_response(const result<http_response>& response,
                                      Decoded (*decode)(Arguments...)) {
    const auto body = response_body(response);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    if constexpr (std::is_invocable_v<decltype(decode), std::string_view, std::uint64_t>) {
        const auto era = response_era(response);
        if (!era) {
            return tl::make_unexpected(era.error());
        }
        return decode(*body, *era);
    } else {
        return decode(*body);
    }
}

}  // namespace guavaramp
