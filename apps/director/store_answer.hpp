#pragma once

#include <guavaramp/net/http.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <string_view>

namespace guavaramp {

/// The body of the store's answer, or the error that the call ended with. The view lives as long as `answer`.
/// Thread-safe.
[[nodiscard]] inline result<std::string_view> body_of(const result<http_response>& answer) {
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status != 200) {
        return tl::make_unexpected(platform_adapter::error_for_store_status(answer->status));
    }
    return std::string_view{answer->body};
}

/// Applies `decode` to the answer's body. Thread-safe.
template <typename Decode>
[[nodiscard]] auto decode_answer(const result<http_response>& answer, Decode decode)
    -> decltype(decode(std::string_view{})) {
    const auto body = body_of(answer);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    return decode(*body);
}

}  // namespace guavaramp
