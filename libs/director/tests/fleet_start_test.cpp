#include "director_fixture.hpp"

#include <guavaramp/director/store_sync.hpp>

#include <algorithm>
#include <vector>

namespace guavaramp {
namespace {

using namespace director_fixture;

/// A simulated fleet whose directors start within `spread` and read `bytes` each over the store's link, which
/// all open transfers share evenly. Time advances in steps of 5 ms.
struct fleet_start_options {
    std::size_t directors{300};
    double bytes{300'000};
    double store_bytes_per_ms{125'000};     ///< 1,000 Mbit/s
    double director_bytes_per_ms{2'500};    ///< 20 Mbit/s
    std::chrono::milliseconds spread{300};  ///< time within which the directors start
};

struct fleet_start_outcome {
    std::int64_t last_complete_ms{0};
    std::size_t repeated_transfers{0};
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
    constexpr std::int64_t max_simulated_ms = 60'000;
    constexpr std::int64_t step_ms = 5;
    for (std::int64_t ms = 0; complete < transfers.size() && ms < max_simulated_ms; ms += step_ms) {
        const auto now = at_ms(ms);
        std::size_t open = 0;
        for (auto& current : transfers) {
            if (!current.complete && !current.open && now >= current.starts_at) {
                current = {.starts_at = now, .limits = limits_at(now), .open = true};
            }
            open += current.open ? 1 : 0;
        }
        const double share = step_ms * std::min(options.store_bytes_per_ms /
                                                    static_cast<double>(std::max<std::size_t>(open, 1)),
                                                options.director_bytes_per_ms);
        for (auto& current : transfers) {
            if (!current.open) {
                continue;
            }
            current.received += share;
            current.last_byte_at = now;
            outcome.bytes_sent += share;
            if (current.received >= options.bytes) {
                current.open = false;
                current.complete = true;
                ++complete;
                outcome.last_complete_ms = ms;
            } else if (now >= timeout_at(current.limits, current.last_byte_at)) {
                current = {.starts_at = now + min_read_retry_wait};
                ++outcome.repeated_transfers;
            }
        }
    }
    return outcome;
}

// Load pattern: all directors lose power and start together, with a configuration of 1,300 routes in force.
// Guards against a time limit on the whole transfer: with one of 0.7 s each director started its transfer
// anew after that time, and the last one was ready after 7 s.
TEST_CASE("FleetStartTest.NoTransferIsRepeatedWhenTheWholeFleetReadsAtOnce") {
    for (const std::size_t directors : {300, 1000}) {
        const fleet_start_options options{.directors = directors};
        const auto outcome = start_fleet(options, [](mono_time now) { return limits_of(now); });
        CHECK(outcome.repeated_transfers == 0);
        const double min_transfer_ms =
            static_cast<double>(directors) * options.bytes / options.store_bytes_per_ms;
        CHECK(static_cast<double>(outcome.last_complete_ms) <=
              min_transfer_ms + static_cast<double>(options.spread.count()));
    }
}

// Shows that the simulation reproduces the failure that the limits guard against.
TEST_CASE("FleetStartTest.TransfersAreRepeatedWhenALimitAppliesToTheWholeTransfer") {
    const auto outcome = start_fleet({.directors = 1000},
                                     [](mono_time now) { return limits_until(now + read_stall_timeout); });
    CHECK(outcome.repeated_transfers > 1000);
}

}  // namespace
}  // namespace guavaramp
