#pragma once

#include <guavaramp/requests/request.hpp>

#include <cstdint>

namespace guavaramp {

/// How one sending of a request to a host ended.
enum class run_end : std::uint8_t {
    answered,    ///< with a whole answer
    refused,     ///< the host did not run it
    not_sent,    ///< the host saw no byte of it
    answer_lost  ///< it may have run
};

/// What the owner knows about a request when one of its sendings ends.
struct run_context {
    bool is_repeatable{false};
    bool is_other_running{false};  ///< the other one of two copies is in progress
    bool may_have_run{false};      ///< in an earlier sending, whose answer was lost

    friend bool operator==(const run_context&, const run_context&) = default;
};

enum class run_step : std::uint8_t {
    pass_answer,   ///< the caller gets this answer; another copy is cancelled
    await_other,   ///< the outcome is that of the other copy
    retry_or_fail  ///< send again if `may_retry` and the admission allow it, else the caller gets `failure`
};

struct run_decision {
    run_step step{run_step::retry_or_fail};
    bool may_retry{false};
    bool may_have_run{false};  ///< from now on; if false, the request has certainly not run
    request_answer failure{};  ///< of `retry_or_fail`, without `retry_after_ms`

    friend bool operator==(const run_decision&, const run_decision&) = default;
};

/// Decides what follows from the end of one sending of a request. "Not run" results only if no sending of the
/// request may have run. Thread-safe.
[[nodiscard]] run_decision decide_run_end(run_end how, const run_context& known);

}  // namespace guavaramp
