#include <guavaramp/platform/http_key_value_store.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <thread>

namespace guavaramp {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Answers take milliseconds, so an answer that has not come after a second is lost.
constexpr auto attempt_timeout = milliseconds{1000};
constexpr auto shortest_backoff = milliseconds{50};
constexpr auto longest_backoff = milliseconds{2000};
constexpr std::uint32_t max_backoff_doublings = 6;
constexpr auto budget_poll_period = milliseconds{10};
// The server ends a watch this much before the client would count its answer as lost.
constexpr auto watch_margin = milliseconds{250};
constexpr std::uint64_t header_bytes = 120;  // request line and headers, as measured with a short URL

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;

mono_time clock_now() { return std::chrono::steady_clock::now(); }

milliseconds until(mono_time deadline) {
    return std::chrono::duration_cast<milliseconds>(deadline - clock_now());
}

bool is_safe_in_path(char letter) {
    const bool alphanumeric = (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
                              (letter >= 'A' && letter <= 'Z');
    return alphanumeric || letter == '/' || letter == '-' || letter == '_' || letter == '.';
}

/// Percent-encodes a key for a URL path, where "/" stays as it is, or for a query (RFC 3986 section 2.1).
std::string encode(const std::string& text, bool keep_slash = true) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        if (is_safe_in_path(letter) && (keep_slash || letter != '/')) {
            encoded += letter;
            continue;
        }
        const auto value = static_cast<unsigned char>(letter);
        encoded += '%';
        encoded += digits[value >> 4U];
        encoded += digits[value & 15U];
    }
    return encoded;
}

error error_of(const http_response& response) {
    const auto body = json::parse(response.body, nullptr, false);
    if (!body.is_object()) {
        return {.kind = error_kind::unavailable, .message = "status " + std::to_string(response.status)};
    }
    return {.kind = error_kind_from_name(body.value("error", "unavailable")),
            .message = body.value("message", "")};
}

/// Runs `decode` on the JSON body. Errors: `malformed`.
template <typename Decode>
auto decode_body(const http_response& response, Decode decode) -> result<decltype(decode(json{}))> {
    try {
        return decode(json::parse(response.body));
    } catch (const json::exception& failure) {
        return fail(error_kind::malformed, std::string{"answer of the platform: "} + failure.what());
    }
}

stored_value decode_stored(const json& body) {
    return {.value = body.at("value").get<std::string>(),
            .revision = body.at("revision").get<std::uint64_t>()};
}

std::string put_body(const std::string& value, std::uint64_t if_revision, std::uint64_t lease) {
    json body{{"value", value}, {"if_revision", if_revision}};
    if (lease != 0) {
        body["lease"] = lease;
    }
    return body.dump();
}

listed_vm decode_vm(const json& item) {
    return {.address = item.at("address").get<std::string>(),
            .failure_domain = item.at("failure_domain").get<std::string>(),
            .region = item.value("region", "default"),
            .leaving = item.value("leaving", false)};
}

}  // namespace

const char* to_string(platform_call kind) noexcept {
    constexpr std::array<const char*, platform_call_kinds> names{"get",  "put", "delete", "watch",
                                                                 "list", "vms", "lease"};
    return names[static_cast<std::size_t>(kind)];
}

http_key_value_store::http_key_value_store(http_client& client, const http_key_value_store_options& options)
    : client_(client),
      options_(options),
      budget_(make_token_bucket(options.calls_per_second, options.burst, clock_now())),
      random_(options.seed) {}

/// Waits until the backoff is over and the budget allows a call.
result<void> http_key_value_store::wait_for_turn(mono_time deadline) {
    while (!stopped_) {
        const auto now = clock_now();
        auto wait = std::chrono::duration_cast<milliseconds>(budget_poll_period);
        {
            const std::lock_guard lock{mutex_};
            if (now >= not_before_ && take_tokens(budget_, 1, now)) {
                return {};
            }
        }
        if (now + wait >= deadline) {
            return fail(error_kind::unavailable,
                        "the platform did not answer the last calls, or the call budget is used up");
        }
        std::this_thread::sleep_for(wait);
    }
    return fail(error_kind::cancelled, "the client stops");
}

/// Records a failed attempt: later attempts wait for an exponential backoff with full jitter.
result<void> http_key_value_store::put_off(mono_time deadline) {
    const std::lock_guard lock{mutex_};
    const auto doublings = std::min(failures_++, max_backoff_doublings);
    const auto longest = std::min<milliseconds>(longest_backoff, shortest_backoff * (1U << doublings));
    const auto wait = milliseconds{
        std::uniform_int_distribution<milliseconds::rep>{longest.count() / 4, longest.count()}(random_)};
    not_before_ = clock_now() + wait;
    if (not_before_ >= deadline) {
        return fail(error_kind::unavailable, "the platform does not answer");
    }
    return {};
}

void http_key_value_store::record_success() {
    const std::lock_guard lock{mutex_};
    failures_ = 0;
    not_before_ = {};
}

http_outcome http_key_value_store::attempt(const request& wanted, mono_time deadline) {
    ++calls_[static_cast<std::size_t>(wanted.kind)];
    bytes_sent_ += header_bytes + wanted.path.size() + wanted.body.size();
    const auto ends = wanted.waits ? deadline : std::min(deadline, clock_now() + attempt_timeout);
    auto promise = std::make_shared<std::promise<http_outcome>>();
    auto future = promise->get_future();
    const auto number =
        client_.start({.method = wanted.method,
                       .url = options_.base_url + wanted.path,
                       .body = wanted.body,
                       .deadline = ends,
                       .at_most_once = wanted.writes},
                      [promise](http_outcome outcome) { promise->set_value(std::move(outcome)); });
    {
        const std::lock_guard lock{mutex_};
        active_.insert(number);
    }
    if (stopped_) {
        client_.cancel(number);
    }
    auto outcome = future.get();
    const std::lock_guard lock{mutex_};
    active_.erase(number);
    return outcome;
}

result<http_response> http_key_value_store::call(const request& wanted, mono_time deadline) {
    while (true) {
        if (auto turn = wait_for_turn(deadline); !turn) {
            return tl::make_unexpected(turn.error());
        }
        auto outcome = attempt(wanted, deadline);
        const bool answered = outcome.response.has_value();
        // The platform answers 429 and 503 without having done anything.
        const bool rejected =
            answered && (outcome.response->status == representation_of(error_kind::overloaded).http_status ||
                         outcome.response->status == representation_of(error_kind::unavailable).http_status);
        if (answered && !rejected) {
            record_success();
            return *std::move(outcome.response);
        }
        if (stopped_) {
            return fail(error_kind::cancelled, "the client stops");
        }
        const auto retry = put_off(deadline);
        if (!answered && wanted.writes && outcome.request_may_have_been_sent) {
            return fail(error_kind::outcome_unknown, outcome.response.error().message);
        }
        if (!retry) {
            return tl::make_unexpected(answered ? error_of(*outcome.response) : outcome.response.error());
        }
    }
}

result<http_response> http_key_value_store::call_expecting(const request& wanted, mono_time deadline,
                                                           int other_status) {
    auto response = call(wanted, deadline);
    if (response && response->status != status_ok && response->status != other_status) {
        return tl::make_unexpected(error_of(*response));
    }
    return response;
}

result<std::optional<stored_value>> http_key_value_store::get(const std::string& key, mono_time deadline) {
    auto response =
        call_expecting({.kind = platform_call::get, .method = "GET", .path = "/v1/kv/" + encode(key)},
                       deadline, status_not_found);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status == status_not_found) {
        return std::nullopt;
    }
    return decode_body(*response, [](const json& body) { return std::optional{decode_stored(body)}; });
}

result<std::uint64_t> http_key_value_store::put(const std::string& key, const std::string& value,
                                                std::uint64_t if_revision, mono_time deadline) {
    return put_with_lease(key, value, if_revision, 0, deadline);
}

result<std::uint64_t> http_key_value_store::put_with_lease(const std::string& key, const std::string& value,
                                                           std::uint64_t if_revision, std::uint64_t lease,
                                                           mono_time deadline) {
    auto response = call_expecting({.kind = platform_call::put,
                                    .method = "PUT",
                                    .path = "/v1/kv/" + encode(key),
                                    .body = put_body(value, if_revision, lease),
                                    .writes = true},
                                   deadline);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    return decode_body(*response, [](const json& body) { return body.at("revision").get<std::uint64_t>(); });
}

result<void> http_key_value_store::remove(const std::string& key, std::uint64_t if_revision,
                                          mono_time deadline) {
    return remove_with_lease(key, if_revision, 0, deadline);
}

result<void> http_key_value_store::remove_with_lease(const std::string& key, std::uint64_t if_revision,
                                                     std::uint64_t lease, mono_time deadline) {
    auto path = "/v1/kv/" + encode(key) + "?if_revision=" + std::to_string(if_revision);
    if (lease != 0) {
        path += "&lease=" + std::to_string(lease);
    }
    auto response = call_expecting(
        {.kind = platform_call::remove, .method = "DELETE", .path = path, .writes = true}, deadline);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    return {};
}

result<std::optional<stored_value>> http_key_value_store::watch(const std::string& key, std::uint64_t after,
                                                                mono_time deadline) {
    const auto timeout = std::max<milliseconds>(milliseconds{1}, until(deadline) - watch_margin);
    auto response = call_expecting({.kind = platform_call::watch,
                                    .method = "GET",
                                    .path = "/v1/watch/" + encode(key) + "?after=" + std::to_string(after) +
                                            "&timeout_ms=" + std::to_string(timeout.count()),
                                    .waits = true},
                                   deadline, status_no_content);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status == status_no_content) {
        return std::nullopt;
    }
    return decode_body(*response, [](const json& body) { return std::optional{decode_stored(body)}; });
}

result<std::vector<std::pair<std::string, std::uint64_t>>> http_key_value_store::list(
    const std::string& prefix, mono_time deadline) {
    auto response = call_expecting(
        {.kind = platform_call::list, .method = "GET", .path = "/v1/list?prefix=" + encode(prefix, false)},
        deadline);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    return decode_body(*response, [](const json& body) {
        std::vector<std::pair<std::string, std::uint64_t>> keys;
        for (const auto& item : body.at("keys")) {
            keys.emplace_back(item.at("key").get<std::string>(), item.at("revision").get<std::uint64_t>());
        }
        return keys;
    });
}

result<std::vector<listed_vm>> http_key_value_store::vms(mono_time deadline) {
    auto response =
        call_expecting({.kind = platform_call::vms, .method = "GET", .path = "/v1/vms"}, deadline);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    return decode_body(*response, [](const json& body) {
        std::vector<listed_vm> list;
        for (const auto& item : body.at("vms")) {
            list.push_back(decode_vm(item));
        }
        return list;
    });
}

result<std::uint64_t> http_key_value_store::grant_lease(milliseconds duration, mono_time deadline) {
    auto response = call_expecting({.kind = platform_call::lease,
                                    .method = "POST",
                                    .path = "/v1/leases",
                                    .body = json{{"duration_ms", duration.count()}}.dump(),
                                    .writes = true},
                                   deadline);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    return decode_body(*response, [](const json& body) { return body.at("id").get<std::uint64_t>(); });
}

result<void> http_key_value_store::renew_lease(std::uint64_t lease, mono_time deadline) {
    auto response = call_expecting({.kind = platform_call::lease,
                                    .method = "POST",
                                    .path = "/v1/leases/" + std::to_string(lease) + "/renew",
                                    .writes = true},
                                   deadline);
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    return {};
}

void http_key_value_store::stop() {
    stopped_ = true;
    const std::lock_guard lock{mutex_};
    for (const auto number : active_) {
        client_.cancel(number);
    }
}

std::uint64_t http_key_value_store::calls(platform_call kind) const noexcept {
    return calls_[static_cast<std::size_t>(kind)];
}

}  // namespace guavaramp
