#pragma once

#include <algorithm>

namespace guavaramp {

/// Allows second attempts up to a share of first attempts (Envoy's retry budget), so that retries cannot
/// multiply a flood. Not thread-safe.
struct retry_budget {
    double share{0.1};
    double most{10.0};  ///< attempts that may be saved up in quiet times
    double tokens{1.0};
};

inline void record_first_attempt(retry_budget& budget) noexcept {
    budget.tokens = std::min(budget.most, budget.tokens + budget.share);
}

/// Takes one retry from the budget, or returns false.
[[nodiscard]] inline bool take_retry(retry_budget& budget) noexcept {
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

}  // namespace guavaramp
