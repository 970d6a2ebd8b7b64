#include "director_fixture.hpp"

#include <guavaramp/director/store_sync.hpp>

#include <algorithm>
#include <vector>

namespace guavaramp {
namespace {

using namespace director_fixture;

/// A fleet that starts at one moment and reads `bytes` each over the store's link, which all open transfers
/// share alike. Time goes in steps of 5 ms.
struct fleet_start_options {
    std::size_t directors{300};
    double bytes{300'000};
    double store_bytes_per_ms{125'000};     ///< 1,000 Mbit/s
    double director_bytes_per_ms{2'500};    ///< 20 Mbit/s
    std::chrono::milliseconds spread{300};  ///< of the starts
};

struct fleet_start_outcome {
    std::int64_t last_complete_ms{0};
    std::size_t given_up{0};
    double bytes_sent{0};
};

template <typename Limits>
fleet_start_outcome start_fleet(const fleet_start_options& options, Limits limits_at) {
    struct transfer {
        mono_time starts_at;
        call_limits limits{};
        mono_time last_byte_at{};
        double received{0};
        bool open{false};
        bool complete{false};
    };
    std::vector<transfer> transfers(options.directors);
    for (std::size_t index = 0; index < transfers.size(); ++index) {
        transfers[index].starts_at = at_ms(options.spread.count() * static_cast<std::int64_t>(index) /
                                           static_cast<std::int64_t>(transfers.size()));
    }
    fleet_start_outcome outcome;
    std::size_t complete = 0;
    constexpr std::int64_t longest_ms = 60'000;
    constexpr std::int64_t step_ms = 5;
    for (std::int64_t ms = 0; complete < transfers.size() && ms < longest_ms; ms += step_ms) {
        const auto now = at_ms(ms);
        std::size_t open = 0;
        for (auto& one : transfers) {
            if (!one.complete && !one.open && now >= one.starts_at) {
                one = {.starts_at = now, .limits = limits_at(now), .open = true};
            }
            open += one.open ? 1 : 0;
        }
        const double share = step_ms * std::min(options.store_bytes_per_ms /
                                                    static_cast<double>(std::max<std::size_t>(open, 1)),
                                                options.director_bytes_per_ms);
        for (auto& one : transfers) {
            if (!one.open) {
                continue;
            }
            one.received += share;
            one.last_byte_at = now;
            outcome.bytes_sent += share;
            if (one.received >= options.bytes) {
                one.open = false;
                one.complete = true;
                ++complete;
                outcome.last_complete_ms = ms;
            } else if (now >= timeout_at(one.limits, one.last_byte_at)) {
                one = {.starts_at = now + retry_wait};
                ++outcome.given_up;
            }
        }
    }
    return outcome;
}

// Load pattern: all directors lose power and start together, with a configuration of 1,300 routes in force. A
// limit on the whole transfer had each of them begin anew after 0.7 s, and the last was ready after 7 s.
TEST_CASE("FleetStartTest.NoTransferIsRepeatedWhenTheWholeFleetReadsAtOnce") {
    for (const std::size_t directors : {300, 1000}) {
        const fleet_start_options options{.directors = directors};
        const auto outcome =
            start_fleet(options, [](mono_time now) { return limits_of(reading_kind::whole, now); });
        CHECK(outcome.given_up == 0);
        const double least_ms = static_cast<double>(directors) * options.bytes / options.store_bytes_per_ms;
        CHECK(static_cast<double>(outcome.last_complete_ms) <=
              least_ms + static_cast<double>(options.spread.count()));
    }
}

// Shows that the replay has the failure that the limits guard against.
TEST_CASE("FleetStartTest.ALimitOnTheWholeTransferMakesTheFleetBeginAnew") {
    const auto outcome =
        start_fleet({.directors = 1000}, [](mono_time now) { return limits_until(now + read_timeout); });
    CHECK(outcome.given_up > 1000);
}

}  // namespace
}  // namespace guavaramp
