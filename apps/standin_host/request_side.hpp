#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/net/http.hpp>
#include <guavaramp/net/http_router.hpp>

#include <cstdint>
#include <memory>

namespace guavaramp {

/// The work that a host can do.
struct host_work_options {
    double speed{1.0};           ///< work takes its duration at speed 1 divided by this
    int slots{2};                ///< requests that run at a time
    double work_ms{100.0};       ///< mean at speed 1; single requests take 0.5 to 1.5 times as long
    std::size_t queue_limit{4};  ///< requests that wait for a slot; more are refused
    double cold_start_s{0.0};    ///< speed rises from a quarter to the whole in this time
    std::uint64_t seed{1};
};

/// The slots of one host, shared by the request sides of its services. Runs requests by timer on one thread.
/// Thread-safe.
class host_work {
public:
    explicit host_work(const host_work_options& options);
    ~host_work();
    host_work(const host_work&) = delete;
    host_work& operator=(const host_work&) = delete;

    /// Adds `POST /run`, `POST /cancel`, `GET /ran`, `GET /health`, `GET /load` and `POST /standin/faults`.
    /// The routes use this object. With `false_health`, health and load claim an idle host.
    void add_routes(http_router& router, bool false_health);

private:
    struct state;
    std::unique_ptr<state> state_;
};

struct request_side_options {
    endpoint listen;
    host_work_options work;
    bool false_health{false};
    /// The slots to share with another service of the same host; made from `work` when null.
    std::shared_ptr<host_work> shared_work;
};

/// Serves a host's requests over HTTP on one listening address.
class request_side {
public:
    /// Throws std::runtime_error when the address cannot be bound.
    explicit request_side(const request_side_options& options);

    /// The slots, for another service of the same host.
    [[nodiscard]] std::shared_ptr<host_work> work() const { return work_; }

private:
    std::shared_ptr<host_work> work_;
    std::unique_ptr<http_router> router_;
    std::unique_ptr<http_server> server_;
};

}  // namespace guavaramp
