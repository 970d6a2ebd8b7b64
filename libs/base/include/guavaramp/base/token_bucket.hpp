#pragma once

#include <guavaramp/base/time.hpp>

#include <algorithm>

namespace guavaramp {

/// A token bucket for rate limiting. It gains `rate` tokens per second and holds at most `burst` tokens.
struct token_bucket {
    double rate{0.0};
    double burst{0.0};
    double tokens{0.0};
    mono_time refilled_at{};
};

/// Returns a bucket that is full at `now`. A bucket is not thread-safe: one thread owns it.
[[nodiscard]] inline token_bucket make_token_bucket(double rate, double burst, mono_time now) noexcept {
    return {.rate = rate, .burst = burst, .tokens = burst, .refilled_at = now};
}

/// Refills the bucket for the time since the last call, then takes `amount` tokens and returns true. Takes
/// none and returns false if the bucket holds fewer. Precondition: `now` is not earlier than at the last
/// call. Not thread-safe.
[[nodiscard]] inline bool take_tokens(token_bucket& bucket, double amount, mono_time now) noexcept {
    const double elapsed_s = std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(bucket.burst, bucket.tokens + elapsed_s * bucket.rate);
    bucket.refilled_at = now;
    if (bucket.tokens < amount) {
        return false;
    }
    bucket.tokens -= amount;
    return true;
}

}  // namespace guavaramp
