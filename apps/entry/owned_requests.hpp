#pragma once

#include "request_copies.hpp"

#include <guavaramp/admission/admission.hpp>
#include <guavaramp/config/model.hpp>
#include <guavaramp/net/http.hpp>
#include <guavaramp/requests/owner_history.hpp>
#include <guavaramp/requests/request_table.hpp>
#include <guavaramp/requests/run_end.hpp>
#include <guavaramp/telemetry/counters.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace guavaramp {

/// One reading of both clocks: deadlines of requests are Unix times, all else uses the steady clock.
struct clock_reading {
    mono_time mono{};
    std::int64_t unix_ms{0};
};

/// Calls to hosts and answers to waiters. Tests replace them.
struct owned_request_ports {
    /// Starts a call and returns its number, which is not 0. Its end is reported by `end_run(ticket)`, later.
    std::function<std::uint64_t(http_call call, std::uint64_t ticket)> start;
    /// Ends a call; its end is reported as that of any other.
    std::function<void(std::uint64_t call)> stop;
    /// Sends a call whose outcome does not matter.
    std::function<void(http_call call)> notify;
    std::function<void(std::uint64_t waiter, const request_answer& outcome)> answer;
};

struct owned_request_options {
    double hedge_limit{0};  ///< 0 to `max_request_hedge_limit`
    admission_options admission;
    std::uint64_t seed{0};
};

/// The requests that this daemon owns: runs each at an upstream that the admission chooses, sends copies of
/// late ones, cancels them, and gives every waiter one outcome. Time is passed in. Not thread-safe.
class owned_requests {
public:
    /// `counters` must outlive the object.
    owned_requests(const owned_request_options& options, counter_registry& counters,
                   owned_request_ports ports);

    /// Takes over the services and those of their upstreams that are active now.
    void set_config(std::shared_ptr<const config_snapshot> config, const clock_reading& now);

    /// Sets the number of live daemons, which share each host's slots.
    void set_daemons(std::size_t count) { limits_.set_daemons(count); }

    /// Runs a request or answers `waiter` with the outcome that its id has.
    void own(const client_request& request, std::uint64_t waiter, const owner_history& owners,
             const clock_reading& now);

    /// Reports the end of the call of the sending `ticket`.
    void end_run(std::uint64_t ticket, const http_outcome& outcome, const clock_reading& now);

    /// Cancels a request in progress, at its hosts too.
    void cancel(const std::string& id, const clock_reading& now);

    /// Ends the requests whose deadline has passed.
    void expire(const clock_reading& now);

    /// Sends copies of late requests, and the requests that the admission lets through.
    void send_due(const clock_reading& now);

    /// Discards the answer times that were measured or contain `now`. For use after a pause of the process.
    void discard_measurements(const clock_reading& now) {
        guavaramp::discard_measurements(copies_, now.mono);
    }

    /// Whether `send_due` may have something to send soon without any other event.
    [[nodiscard]] bool is_waiting() const;

    /// Whether the id is in progress or its answer is kept.
    [[nodiscard]] bool can_answer(const std::string& id) const { return table_.can_answer(id); }

    /// The request's class, or that of its service.
    [[nodiscard]] work_class urgency_of(const client_request& request) const;

    /// Sets the gauges of queues and records.
    void publish_gauges();

private:
    struct owned {
        client_request request;
        request_runs runs;
    };

    void complete(const std::string& id, request_answer outcome);
    void forget(const std::string& id);
    void send_copies(const clock_reading& now);
    void send_copy(const std::string& id, owned& item, const clock_reading& now);
    void send_to_upstream(const admission_effect& effect, owned& item, const clock_reading& now);
    void fail_or_await_retry(const std::string& id, request_answer failure, bool is_queued_again);
    void cancel_run(const host_run& run, const std::string& id, const clock_reading& now);
    void cancel_runs(const owned& item, const clock_reading& now);
    void count(const char* name, const char* help, const std::string& label);
    void count_failure(run_end how, const result<host_answer>& answer);
    void count_copy(const char* result);

    counter_registry& counters_;
    owned_request_ports ports_;
    request_table table_;
    admission limits_;
    request_copies copies_;
    std::shared_ptr<const config_snapshot> config_;
    std::uint64_t last_ticket_{0};
    std::unordered_map<std::string, owned> owned_by_id_;
    std::unordered_map<std::uint64_t, std::string> id_by_ticket_;
};

}  // namespace guavaramp
