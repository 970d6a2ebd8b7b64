#pragma once

#include <guavaramp/admission/host_limit.hpp>
#include <guavaramp/admission/retry_budget.hpp>
#include <guavaramp/base/address.hpp>
#include <guavaramp/base/ids.hpp>
#include <guavaramp/config/model.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>
#include <vector>

namespace guavaramp {

inline constexpr std::size_t work_class_count = 3;

struct admission_options {
    bool enabled{true};           ///< false: no limits, no classes, first in first out, hosts queue
    double slots_per_host{2.0};   ///< what the fleet's hosts are documented to have
    double least_share{0.10};     ///< of a host's slots for each lower class while a higher one is active
    double target_use{0.4};       ///< lower classes fill a host up to this use beside a higher class
    std::size_t least_queue{8};   ///< requests for each service and class that are always kept
    std::size_t max_queue{256};   ///< requests for each service and class
    double queue_s{0.5};          ///< of sending at the recent rate that a queue may hold
    double overload_wait_s{0.1};  ///< queue time of the oldest request that switches to newest first
    double max_wait_s{1.0};       ///< a request that waited this long is given up
    std::int64_t retry_after_ms{500};  ///< lower bound; the answer adds jitter of the same length
    host_limit_options limit;          ///< `initial` and `least` are derived from slots and daemons
};

/// An upstream as the admission sees it. Upstreams with the same `host` share its slots and its limit.
struct admission_upstream {
    upstream_id id{0};
    ip_address host;
    double weight{1.0};

    friend bool operator==(const admission_upstream&, const admission_upstream&) = default;
};

struct admission_request {
    std::uint64_t ticket{0};  ///< unique among the requests that the caller has submitted and not ended
    service_id service{0};
    work_class urgency{work_class::normal};
    mono_time deadline{};
};

enum class rejection : std::uint8_t {
    none,
    overloaded,          ///< no room before the request was too old
    deadline,            ///< the deadline cannot be met, given the observed service time
    no_active_upstream,  ///< the service has no active upstream
    refused              ///< a host refused it and the retry budget is used up
};

/// What to do with a request: send it to `upstream`, or answer "not run" when `reason` is not `none`.
struct admission_effect {
    std::uint64_t ticket{0};
    upstream_id upstream{0};
    rejection reason{rejection::none};
    std::int64_t retry_after_ms{0};
};

/// How a request that was sent to an upstream ended.
enum class send_result : std::uint8_t {
    answered,
    refused,   ///< the host did not run it
    not_sent,  ///< the host saw no byte of it
    ended      ///< no usable answer, or cancelled
};

/// One daemon's admission: queues by service and class, limits by host. Deterministic for a given seed; time
/// is passed in and must not go back. Not thread-safe.
class admission {
public:
    admission(const admission_options& options, std::uint64_t seed);

    /// Sets the active upstreams of a service. Limits of hosts that are already known are kept.
    void set_upstreams(service_id service, std::vector<admission_upstream> upstreams, mono_time now);

    /// Sets the number of live daemons, which share each host's slots.
    void set_daemons(std::size_t count);

    /// Queues a request. Its effect comes from this or a later `poll`.
    void submit(const admission_request& request, mono_time now);

    /// Reports the end of a sent request. A request without an answer is queued again for another upstream
    /// when `may_retry`, its deadline and the retry budget allow it; the return value tells whether it was.
    bool finish(std::uint64_t ticket, send_result how, bool may_retry, mono_time now);

    /// Sends a copy of the sent request `ticket`, as `copy_ticket`, to another host that has room now.
    /// Returns false if there is none. The copy's effect comes from the next `poll`; its end is reported as
    /// that of any request, with `may_retry` false.
    bool send_copy(std::uint64_t ticket, std::uint64_t copy_ticket, mono_time now);

    /// Withdraws a queued request; returns false when it is not queued.
    bool withdraw(std::uint64_t ticket);

    /// Effects that are due at `now`.
    [[nodiscard]] std::vector<admission_effect> poll(mono_time now);

    /// A wait to suggest to a caller that was not served.
    [[nodiscard]] std::int64_t suggest_retry_after_ms();

    [[nodiscard]] std::size_t queued(work_class urgency) const;
    [[nodiscard]] std::size_t queued_for(service_id service) const;
    [[nodiscard]] double limit_of(const ip_address& host) const;
    [[nodiscard]] int outstanding_at(const ip_address& host) const;

private:
    struct waiting {
        admission_request request;
        mono_time arrived{};
        upstream_id avoid{0};
    };

    struct running {
        waiting item;
        upstream_id upstream{0};
        ip_address host;
        mono_time sent{};
        double charged_s{0.0};
    };

    /// Slot seconds that a lower class may still use at a host.
    struct slot_credit {
        double seconds{0.0};
        mono_time refilled{};
    };

    struct host_state {
        host_limit limit;
        std::array<slot_credit, work_class_count> credit;
        std::array<mono_time, work_class_count> last_wanted{};  ///< when a class last had work for the host
        double higher_use{0.0};  ///< mean slots in use by this daemon's urgent requests, decaying
        mono_time use_updated{};
    };

    /// Requests sent lately, each counting less the longer ago it was sent.
    struct send_rate {
        double recent{0.0};
        mono_time updated{};
    };

    struct service_state {
        std::vector<admission_upstream> upstreams;
        std::array<std::deque<waiting>, work_class_count> queues;
        std::array<send_rate, work_class_count> rates;
        retry_budget retries;
    };

    void trim(service_state& service, std::size_t urgency, mono_time now);
    void reject(const waiting& item, rejection reason);
    void expire(service_state& service, mono_time now);
    bool send_next(service_state& service, std::size_t urgency, mono_time now);
    void send(const waiting& item, const admission_upstream& target, mono_time now);
    void send_unlimited(service_state& service, mono_time now);
    [[nodiscard]] const admission_upstream* choose(service_state& service, std::size_t urgency,
                                                   upstream_id avoid, mono_time now);
    [[nodiscard]] bool admits(host_state& host, std::size_t urgency, mono_time now) const;
    [[nodiscard]] bool higher_class_active(const host_state& host, std::size_t urgency, mono_time now) const;
    void refill(host_state& host, std::size_t urgency, mono_time now) const;
    void charge(host_state& host, std::size_t urgency, double seconds, mono_time now) const;
    [[nodiscard]] double expected_service_s(const service_state& service) const;
    [[nodiscard]] double speed_weight(const admission_upstream& target) const;
    [[nodiscard]] double random();

    admission_options options_;
    std::mt19937_64 random_;
    double share_{1.0};  ///< of a host's slots for this daemon
    std::map<service_id, service_state> services_;
    std::map<ip_address, host_state> hosts_;
    std::unordered_map<std::uint64_t, running> running_;
    std::vector<admission_effect> effects_;
};

[[nodiscard]] const char* to_string(rejection reason) noexcept;

}  // namespace guavaramp
