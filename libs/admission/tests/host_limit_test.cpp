#include <guavaramp/admission/host_limit.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

constexpr double service_s = 0.05;
const mono_time start{std::chrono::hours{1}};

// Guards against nine daemons that each keep one request at a host with two slots: a limit below 1 must hold
// on average.
TEST_CASE("HostLimitTest.LimitBelowOneIsKeptByPauses") {
    host_limit_options options{.initial = 0.2};
    auto host = make_host_limit(options, start);
    host.base_latency_s = service_s;
    double busy_s = 0.0;
    mono_time now = start;
    mono_time ends{};
    for (int step = 0; step < 100'000; ++step) {
        now += std::chrono::milliseconds{1};
        if (host.outstanding > 0) {
            busy_s += 0.001;
            if (now >= ends) {
                record_answered(host, options, service_s, now);
            }
        } else if (has_room(host, now)) {
            record_sent(host);
            ends = now + std::chrono::milliseconds{50};
        }
    }
    CHECK(busy_s / 100.0 == doctest::Approx(0.2).epsilon(0.05));
}

// Guards against a limit that ignores the host's refusals, and against one that refusals push to nothing.
TEST_CASE("HostLimitTest.RefusalsLowerTheLimitToItsFloor") {
    host_limit_options options;
    auto host = make_host_limit(options, start);
    host.limit = 4.0;
    for (int count = 0; count < 20; ++count) {
        const double before = host.limit;
        record_sent(host);
        record_refused(host, options, 0.5, start);
        CHECK(host.limit <= before);
        CHECK_FALSE(has_room(host, start));
    }
    CHECK(host.limit == options.least);
}

// Guards against growth of the limit while the daemon has nothing more to send: the limit would say nothing
// about the host when a flood comes.
TEST_CASE("HostLimitTest.LimitGrowsOnlyWhenItIsInTheWay") {
    host_limit_options options;
    auto host = make_host_limit(options, start);
    for (int count = 0; count < 100; ++count) {
        record_sent(host);
        record_answered(host, options, service_s, start);
    }
    CHECK(host.limit == options.initial);
    host.wanted = true;
    record_sent(host);
    record_answered(host, options, service_s, start);
    CHECK(host.limit > options.initial);
}

// Guards against a host with a long queue that never refuses: its latency must lower the limit.
TEST_CASE("HostLimitTest.SlowAnswersLowerTheLimit") {
    host_limit_options options;
    auto host = make_host_limit(options, start);
    host.limit = 8.0;
    for (int count = 0; count < 32; ++count) {
        record_sent(host);
        record_answered(host, options, service_s, start);
    }
    for (int count = 0; count < 32; ++count) {
        record_sent(host);
        record_answered(host, options, 10 * service_s, start);
    }
    CHECK(host.limit < 8.0);
}

}  // namespace
}  // namespace guavaramp
