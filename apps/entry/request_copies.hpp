#pragma once

#include <guavaramp/admission/admission.hpp>
#include <guavaramp/base/ids.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/requests/hedged_request.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavaramp {

/// One sending of a request to a host.
struct host_run {
    std::uint64_t ticket{0};  ///< of the admission
    std::uint64_t call{0};    ///< of the HTTP client; 0 while no call is in progress
    std::string host_url;
};

/// The sendings of one owned request, which has one copy at most.
struct request_runs {
    service_id service{0};
    bool is_repeatable{false};
    host_run first;       ///< queued while its `call` is 0
    host_run copy;        ///< at a second host; `ticket` is 0 while there is none in progress
    mono_time sent_at{};  ///< when `first` was sent
    bool was_late{false};
    bool copy_was_sent{false};
    bool is_copy_alone{false};  ///< the first host failed, and `first` is the copy
    bool copy_won{false};       ///< the copy was answered first, or alone
    bool may_have_run{false};   ///< at a host whose answer was lost
};

/// Belongs to the time from which a request that was sent at `sent_at` is late.
struct late_timer {
    std::uint64_t ticket{0};
    mono_time sent_at{};
};

/// What an owner needs to decide on copies of late requests. See docs/design/hedged-request.md.
struct request_copies {
    double limit{0};  ///< `hedge_limit`; 0 turns copies off
    std::map<service_id, request_hedging> hedging;
    mono_time discarded_at{};  ///< answer times of requests that were sent earlier are not measured
    std::multimap<mono_time, late_timer> late_timers;  ///< by the time from which the request is late
};

/// Records that `runs.first` was sent, and sets the time from which it is late. Not thread-safe, like all
/// functions of this header that change their arguments.
void await_late(request_copies& copies, request_runs& runs, mono_time now);

/// Removes and returns the timers that are due.
[[nodiscard]] std::vector<late_timer> take_due_timers(request_copies& copies, mono_time now);

/// Returns whether the request of a due timer is late for the first time. Thread-safe.
[[nodiscard]] bool is_late(const request_runs& runs, const late_timer& timer) noexcept;

/// Decides on a copy of a late request. With `send`, the next `poll` of `limits` yields the effect of
/// `copy_ticket`.
[[nodiscard]] request_hedge try_copy(request_copies& copies, request_runs& runs, admission& limits,
                                     std::uint64_t copy_ticket, mono_time now);

/// Returns the sending that has the ticket. Precondition: `ticket` is that of `runs.first` or `runs.copy`.
[[nodiscard]] host_run& run_of(request_runs& runs, std::uint64_t ticket) noexcept;

/// Removes one of two sendings, which has ended without an answer. The other one stays, as `runs.first`.
void remove_run(request_runs& runs, std::uint64_t ticket);

/// Records the whole answer to the sending `ticket`. Returns the other sending if it is in progress, so that
/// the caller cancels it; otherwise a value whose `call` is 0.
[[nodiscard]] host_run record_answered(request_copies& copies, request_runs& runs, std::uint64_t ticket,
                                       mono_time now);

/// Forgets all measurements, and measures no answer times of the requests in progress. For use after a pause
/// of the process.
void discard_measurements(request_copies& copies, mono_time now);

}  // namespace guavaramp
