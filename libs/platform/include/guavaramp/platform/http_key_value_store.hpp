#pragma once

#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/net/http.hpp>
#include <guavaramp/platform/key_value_store.hpp>
#include <guavaramp/platform/lease_store.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <set>
#include <string>

namespace guavaramp {

/// Kinds of platform calls, for counting.
enum class platform_call : std::uint8_t { get, put, remove, watch, list, vms, lease };

inline constexpr std::size_t platform_call_kinds = 7;

/// Text form, used as a counter's label. Thread-safe.
[[nodiscard]] const char* to_string(platform_call kind) noexcept;

struct http_key_value_store_options {
    std::string base_url;          ///< for example "http://127.40.0.1:6090"
    double calls_per_second{100};  ///< budget of this daemon; the platform serves about 2,000 for all users
    double burst{200};             ///< a start without peers reads one value for each of 1,600 services
    std::uint64_t seed{1};         ///< of the jitter
};

/// The platform over HTTP. Each call blocks until an answer, a definite failure or its deadline. Calls that
/// certainly had no effect are tried again until the deadline, with exponential backoff and jitter; a write
/// whose answer was lost is reported as `outcome_unknown` and not tried again. Calls above the budget wait
/// for it. Not to be called on the HTTP client's thread. Thread-safe.
class http_key_value_store final : public key_value_store, public lease_store {
public:
    /// `client` must outlive the store.
    http_key_value_store(http_client& client, const http_key_value_store_options& options);

    [[nodiscard]] result<std::optional<stored_value>> get(const std::string& key,
                                                          mono_time deadline) override;
    [[nodiscard]] result<std::uint64_t> put(const std::string& key, const std::string& value,
                                            std::uint64_t if_revision, mono_time deadline) override;
    [[nodiscard]] result<void> remove(const std::string& key, std::uint64_t if_revision,
                                      mono_time deadline) override;
    [[nodiscard]] result<std::optional<stored_value>> watch(const std::string& key, std::uint64_t after,
                                                            mono_time deadline) override;
    [[nodiscard]] result<std::vector<std::pair<std::string, std::uint64_t>>> list(
        const std::string& prefix, mono_time deadline) override;
    [[nodiscard]] result<std::vector<listed_vm>> vms(mono_time deadline) override;

    [[nodiscard]] result<std::uint64_t> grant_lease(std::chrono::milliseconds duration,
                                                    mono_time deadline) override;
    [[nodiscard]] result<void> renew_lease(std::uint64_t lease, mono_time deadline) override;
    [[nodiscard]] result<std::uint64_t> put_with_lease(const std::string& key, const std::string& value,
                                                       std::uint64_t if_revision, std::uint64_t lease,
                                                       mono_time deadline) override;
    [[nodiscard]] result<void> remove_with_lease(const std::string& key, std::uint64_t if_revision,
                                                 std::uint64_t lease, mono_time deadline) override;

    /// Ends the calls in progress with `cancelled` and refuses later ones, so that threads can be joined.
    void stop();

    /// HTTP requests sent so far of one kind, repeated attempts included.
    [[nodiscard]] std::uint64_t calls(platform_call kind) const noexcept;

    /// Bytes of requests sent so far: bodies and an estimate of the headers.
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return bytes_sent_; }

private:
    struct request {
        platform_call kind{platform_call::get};
        std::string method;
        std::string path;
        std::string body;
        bool writes{false};
        bool waits{false};  ///< the answer may take until the deadline
    };

    [[nodiscard]] result<http_response> call(const request& wanted, mono_time deadline);

    /// `call`, with every status but 200 and `other_status` turned into its error.
    [[nodiscard]] result<http_response> call_expecting(const request& wanted, mono_time deadline,
                                                       int other_status = 200);
    [[nodiscard]] http_outcome attempt(const request& wanted, mono_time deadline);
    [[nodiscard]] result<void> wait_for_turn(mono_time deadline);
    [[nodiscard]] result<void> put_off(mono_time deadline);
    void record_success();

    http_client& client_;
    http_key_value_store_options options_;
    std::array<std::atomic<std::uint64_t>, platform_call_kinds> calls_{};
    std::atomic<std::uint64_t> bytes_sent_{0};
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    token_bucket budget_;
    std::uint32_t failures_{0};
    mono_time not_before_{};
    std::mt19937_64 random_;
    std::set<std::uint64_t> active_;
};

}  // namespace guavaramp
