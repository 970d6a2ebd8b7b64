#include "director_fixture.hpp"

#include <guavaramp/director/age.hpp>
#include <guavaramp/director/store_sync.hpp>
#include <guavaramp/director/update_relay.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace guavaramp {
namespace {

using namespace director_fixture;

// The time from the confirmation of a configuration until it is in force at each director of a failure
// domain, when the store ends the watches of the configuration of both readers and goes on to serve all other
// calls.

constexpr std::int64_t step_ms = 2;
constexpr std::int64_t answer_time_ms = 4;
constexpr std::int64_t cached_answer_age_ms = 4000;
constexpr std::int64_t refusal_ms = 400;
constexpr std::size_t director_count = 3;

/// What happens to the watches of the configuration that wait at one moment.
enum class watch_loss : std::uint8_t {
    cut,               ///< they fail at once
    cut_and_refusals,  ///< they fail at once, and so do all calls for the configuration for `refusal_ms`
    never_answered     ///< the readers give them up in the end
};

/// A store with a configuration of revision 1 that one change raises to 2, and a listing that does not
/// change.
struct simulated_store {
    watch_loss loss{watch_loss::cut};
    std::int64_t lost_at_ms{0};
    std::int64_t changed_at_ms{0};

    [[nodiscard]] std::uint64_t revision_at(std::int64_t time_ms) const {
        return time_ms >= changed_at_ms ? 2 : 1;
    }
};

struct pending_call {
    due_read read;
    std::int64_t started_ms{0};
    std::int64_t ends_ms{0};
    bool fails{false};
    bool is_unchanged{false};
    std::uint64_t revision{0};
};

struct simulated_director {
    endpoint address;
    std::vector<endpoint> others;
    store_sync sync;
    update_relay relay;
    reader_role role;
    report_schedule reports;
    std::array<std::optional<pending_call>, store_dataset_count> calls;
    std::uint64_t configuration_revision{0};
    std::int64_t in_force_at_ms{0};  ///< when revision 2 came into force
};

pending_call call_store(const simulated_store& store, const simulated_director& director, const due_read& due,
                        std::int64_t now_ms) {
    const bool is_configuration = due.dataset == store_dataset::configuration;
    pending_call call{.read = due, .started_ms = now_ms, .ends_ms = now_ms + answer_time_ms};
    const bool is_refused = is_configuration && store.loss == watch_loss::cut_and_refusals &&
                            now_ms >= store.lost_at_ms && now_ms < store.lost_at_ms + refusal_ms;
    if (is_refused) {
        call.fails = true;
        return call;
    }
    if (due.kind == read_kind::full || due.kind == read_kind::full_cached) {
        const auto age_ms = due.kind == read_kind::full_cached ? cached_answer_age_ms : 0;
        call.revision = store.revision_at(now_ms - age_ms);
        return call;
    }
    const auto held_until_ms = (due.hold_until - at_ms(0)) / milliseconds{1};
    const bool has_change = is_configuration && director.configuration_revision < 2;
    call.ends_ms = std::max(now_ms, held_until_ms) + answer_time_ms;
    call.revision = 1;
    call.is_unchanged = true;
    if (has_change && std::max(now_ms, store.changed_at_ms) <= held_until_ms) {
        call.ends_ms = std::max(now_ms, store.changed_at_ms) + answer_time_ms;
        call.revision = 2;
        call.is_unchanged = false;
    }
    const bool is_lost = is_configuration && now_ms < store.lost_at_ms && call.ends_ms > store.lost_at_ms;
    if (is_lost) {
        const auto given_up_ms = (limits_of(due.hold_until).first_byte_deadline - at_ms(0)) / milliseconds{1};
        call.fails = true;
        call.ends_ms = store.loss == watch_loss::never_answered ? given_up_ms : store.lost_at_ms;
    }
    return call;
}

struct simulated_domain {
    explicit simulated_domain(const simulated_store& lossy_store) : store(lossy_store) {
        for (std::uint16_t number = 0; number < director_count; ++number) {
            simulated_director director{
                .address = {.address = from_ipv4(0x7f000001U + number), .port = 6081}};
            record_reader_role(director.sync, false, at_ms(0));
            directors.push_back(director);
        }
        for (auto& director : directors) {
            for (const auto& other : directors) {
                if (other.address != director.address) {
                    director.others.push_back(other.address);
                }
            }
            director.role = make_reader_role(director.address, at_ms(0));
            record_membership(director.role, director.address, director.others, true, at_ms(0));
        }
    }

    void broadcast(simulated_director& sender, std::int64_t now_ms) {
        ++reports;
        const auto verified_at = datasets_verified_at(sender.sync);
        const bool store_answers = sender.sync.store_available_since != mono_time::max();
        auto report = store_answers ? reader_report{.listing = {.revision = 1, .digest = 1},
                                                    .configuration_revision = sender.configuration_revision,
                                                    .verified_age_ms = age_ms(verified_at, at_ms(now_ms))}
                                    : make_store_lost_report();
        record_sent_report(sender.reports, store_answers ? verified_at : mono_time{}, at_ms(now_ms));
        for (auto& other : directors) {
            if (other.address != sender.address) {
                record_report(other.relay, sender.address, report, at_ms(now_ms));
            }
        }
    }

    void finish_call(simulated_director& director, const pending_call& call, std::int64_t now_ms) {
        const auto dataset = call.read.dataset;
        const bool is_configuration = dataset == store_dataset::configuration;
        const auto coverage = coverage_at(director.relay, {.revision = 1, .digest = 1}, at_ms(now_ms));
        if (call.fails) {
            (void)record_read_failure(director.sync, dataset, coverage.has_value(), at_ms(now_ms));
            return;
        }
        const auto reported = coverage ? coverage->configuration_revision : 0;
        if (is_configuration && call.read.kind == read_kind::full_cached && call.revision < reported) {
            record_stale_read(director.sync, dataset, at_ms(now_ms));
            return;
        }
        const bool is_new = is_configuration && call.revision > director.configuration_revision;
        if (is_new) {
            director.configuration_revision = call.revision;
            director.in_force_at_ms = now_ms;
        }
        record_read(director.sync, call.read, at_ms(call.started_ms), at_ms(now_ms));
        if (call.is_unchanged) {
            record_unchanged(director.sync, call.read, at_ms(now_ms));
        }
        if (!is_configuration && !director.role.is_reader) {
            record_own_read(director.role, at_ms(now_ms));
        }
        const auto verified_at = datasets_verified_at(director.sync);
        if (director.role.is_reader &&
            (is_new || is_verification_report_due(director.reports, verified_at, at_ms(now_ms)))) {
            broadcast(director, now_ms);
        }
    }

    void update_source(simulated_director& director, std::int64_t now_ms) {
        const auto now = at_ms(now_ms);
        const bool was_reader = director.role.is_reader;
        const bool was_covered = director.sync.covered_until > now;
        (void)update_reader_role(director.role, director.relay, director.address, director.others, now);
        const auto coverage = coverage_at(director.relay, {.revision = 1, .digest = 1}, now);
        const bool becomes_reader = director.role.is_reader && !was_reader;
        if (becomes_reader || (was_covered && !coverage)) {
            record_coverage_loss(director.sync, now);
        }
        set_coverage_deadline(director.sync, director.role.is_reader ? mono_time{}
                                             : coverage              ? coverage->until
                                                                     : director.role.own_read_at);
        record_reader_role(director.sync, director.role.is_reader, now);
        if (coverage && coverage->confirmed_revision != 0) {
            record_confirmation(director.sync, store_dataset::listing);
        }
        set_behind(director.sync, store_dataset::configuration,
                   coverage && coverage->configuration_revision > director.configuration_revision, now);
        for (const auto dataset : {store_dataset::listing, store_dataset::configuration}) {
            if (is_redundant_watch(director.sync, dataset)) {
                director.calls.at(static_cast<std::size_t>(dataset)).reset();
                record_cancelled_read(director.sync, dataset, now);
            }
        }
        const bool is_report_due = now >= director.reports.next_report_at;
        if (director.role.is_reader && (becomes_reader || is_report_due)) {
            broadcast(director, now_ms);
        }
        if (director.role.is_reader && is_report_due && !becomes_reader) {
            director.reports.next_report_at = now + report_period;
            director.reports.repetition_pending = false;
        }
    }

    void step(std::int64_t now_ms) {
        for (auto& director : directors) {
            for (auto& call : director.calls) {
                if (call && call->ends_ms + wake_up_delay_ms <= now_ms) {
                    const auto finished = *call;
                    call.reset();
                    finish_call(director, finished, now_ms);
                }
            }
            update_source(director, now_ms);
            for (const auto dataset : {store_dataset::listing, store_dataset::configuration}) {
                due_read due{};
                if (start_read_if_due(director.sync, dataset, at_ms(now_ms), due)) {
                    ++calls;
                    director.calls.at(static_cast<std::size_t>(dataset)) =
                        call_store(store, director, due, now_ms);
                }
            }
        }
    }

    [[nodiscard]] std::ptrdiff_t reader_count() const {
        return std::ranges::count_if(directors, [](const auto& director) { return director.role.is_reader; });
    }

    simulated_store store;
    std::vector<simulated_director> directors;
    std::int64_t wake_up_delay_ms{0};  ///< how late the directors handle an answer
    std::size_t calls{0};
    std::size_t reports{0};
};

// Load pattern: both readers of a failure domain lose their watches of the configuration within any phase of
// these, and a change follows, while cached answers are 4 s old. Guards against waits that are each in time
// and together are not: of a reader that waits for the other one, of a watch that is given up, and of the
// directors that rely on them (review case 11: in force 3.0 to 3.5 s after the confirmation).
TEST_CASE("ConfigurationDelayTest.AChangeIsInForceInTimeWhenBothReadersLoseTheirWatches") {
    constexpr std::int64_t settled_ms = 10'000;
    for (const auto loss : {watch_loss::cut, watch_loss::cut_and_refusals, watch_loss::never_answered}) {
        for (std::int64_t phase_ms = 0; phase_ms < 2100; phase_ms += 150) {
            for (const std::int64_t wait_ms : {2, 100, 500, 1000, 1800}) {
                const simulated_store store{.loss = loss,
                                            .lost_at_ms = settled_ms + phase_ms,
                                            .changed_at_ms = settled_ms + phase_ms + wait_ms};
                simulated_domain domain{store};
                std::int64_t now_ms = 0;
                for (; now_ms < store.lost_at_ms; now_ms += step_ms) {
                    domain.step(now_ms);
                }
                REQUIRE(domain.reader_count() == 2);
                for (; now_ms < store.changed_at_ms + 8000; now_ms += step_ms) {
                    domain.step(now_ms);
                }
                for (const auto& director : domain.directors) {
                    CAPTURE(static_cast<int>(loss));
                    CAPTURE(phase_ms);
                    CAPTURE(wait_ms);
                    REQUIRE(director.configuration_revision == 2);
                    CHECK(director.in_force_at_ms - store.changed_at_ms <=
                          milliseconds{change_bound}.count());
                }
            }
        }
    }
}

// Guards against readers whose verifications of the listing and of the configuration come at different times,
// so that no report tells both in time and others take over, or read the store themselves. `delay_ms` is the
// delay of all wake-ups: others rely on a reader for 0.6 s longer than the period of its verifications.
TEST_CASE("ConfigurationDelayTest.DirectorsRelyOnQuietReadersWithoutABreak") {
    constexpr std::int64_t settled_ms = 10'000;
    constexpr std::int64_t end_ms = 60'000;
    for (const std::int64_t delay_ms : {0, 50, 100, 200, 300, 400, 500}) {
        CAPTURE(delay_ms);
        simulated_domain domain{{.lost_at_ms = end_ms, .changed_at_ms = end_ms}};
        domain.wake_up_delay_ms = delay_ms;
        std::int64_t now_ms = 0;
        for (; now_ms < settled_ms; now_ms += step_ms) {
            domain.step(now_ms);
        }
        const auto calls_before = domain.calls;
        const auto reports_before = domain.reports;
        for (; now_ms < end_ms; now_ms += step_ms) {
            domain.step(now_ms);
            REQUIRE(domain.reader_count() == 2);
            for (const auto& director : domain.directors) {
                REQUIRE(reliable_readers(director.relay, at_ms(now_ms)).size() ==
                        (director.role.is_reader ? 1U : 2U));
            }
        }
        // In each period two readers verify two datasets, and each sends one report and its repetition.
        const auto periods = (end_ms - settled_ms) / milliseconds{verification_period}.count();
        const auto limit = static_cast<std::size_t>(4 * (periods + 1));
        CHECK(domain.calls - calls_before <= limit);
        CHECK(domain.reports - reports_before <= limit);
    }
}

}  // namespace
}  // namespace guavaramp
