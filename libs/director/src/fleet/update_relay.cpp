#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/store_revision.hpp>
#include <guavaramp/director/update_relay.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace guavaramp {
namespace {

/// How long a director that has stopped reporting is remembered. A longer memory would be of no use, because
/// its rank matters only while it reports.
constexpr auto silent_reader_retention = std::chrono::seconds{30};
/// How late a report may arrive because of timers and the transmission inside a failure domain.
constexpr auto max_report_delay = std::chrono::milliseconds{100};
constexpr std::uint64_t rank_seed = 0x72656164657273ULL;

/// Returns the rank of a director among the possible readers. All directors compute the same one.
std::uint64_t rank_of(const endpoint& director) noexcept {
    return hash_bytes(std::as_bytes(std::span{director.address.bytes}), rank_seed + director.port);
}

/// Returns the time at which a director takes over when `position` directors rank before it for the missing
/// places; `mono_time::max()` if it does so only after an own read.
mono_time takeover_at(const reader_role& role, std::ptrdiff_t position, bool hears_reader, bool store_lost) {
    const auto fast_steps = std::clamp<std::ptrdiff_t>(position, 0, max_takeover_intervals);
    const auto slow_steps = std::max<std::ptrdiff_t>(position - max_takeover_intervals, 0);
    if (!hears_reader && position >= max_takeover_intervals) {
        return mono_time::max();
    }
    const auto wait = fast_steps * takeover_interval +
                      (store_lost ? slow_steps * slow_takeover_interval : std::chrono::milliseconds{0});
    return std::max({role.listening_until, role.readers_missing_since + wait,
                     hears_reader ? role.one_reader_suffices_until : mono_time{}});
}

/// Returns how long after the loss of all readers a director reads the store for itself. The time depends on
/// the director's address alone, so that the reads of a failure domain are spread evenly.
std::chrono::milliseconds own_read_wait(const endpoint& self) noexcept {
    const auto spread = static_cast<std::int64_t>(
        rank_of(self) % static_cast<std::uint64_t>(std::chrono::milliseconds{own_read_spread}.count()));
    return max_takeover_intervals * takeover_interval + std::chrono::milliseconds{spread};
}

void update_own_read(reader_role& role, const endpoint& self, bool hears_reader, mono_time now) noexcept {
    if (hears_reader) {
        role.uncovered_since = mono_time::max();
        role.own_read_at = mono_time::max();
        role.store_answers_own_reads = false;
        return;
    }
    role.uncovered_since = std::min(role.uncovered_since, now);
    role.own_read_at = std::max(role.listening_until, role.uncovered_since + own_read_wait(self));
}

bool is_reliable(const known_reader& reader, mono_time now) noexcept { return now < reader.relied_on_until; }

}  // namespace

std::vector<fanout_group> fanout_groups(std::span<const endpoint> receivers, const endpoint& reader) {
    std::vector<endpoint> ordered_receivers{receivers.begin(), receivers.end()};
    std::vector<fanout_group> groups;
    if (ordered_receivers.size() <= max_direct_receivers) {
        std::ranges::transform(ordered_receivers, std::back_inserter(groups),
                               [](const endpoint& receiver) { return fanout_group{.forwarder = receiver}; });
        return groups;
    }
    std::ranges::sort(ordered_receivers, {}, [&reader](const endpoint& receiver) {
        return mix_hashes(rank_of(reader), rank_of(receiver));
    });
    const auto group_count =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(ordered_receivers.size()))));
    const auto group_size = std::min(group_count, max_forward_receivers + 1);
    for (std::size_t begin = 0; begin < ordered_receivers.size(); begin += group_size) {
        const auto end = std::min(begin + group_size, ordered_receivers.size());
        groups.push_back({.forwarder = ordered_receivers[begin],
                          .members = {ordered_receivers.begin() + static_cast<std::ptrdiff_t>(begin) + 1,
                                      ordered_receivers.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
    return groups;
}

void update_change_request(change_request& request, const endpoint& sender, const reader_report& report,
                           const listing_state& own, mono_time now) {
    const bool is_up_to_date = own.revision != 0 && report.listing.revision >= own.revision;
    if (!is_up_to_date || std::chrono::milliseconds{report.verified_age_ms} >= verification_validity) {
        return;
    }
    if (report.listing.digest == own.digest) {
        request.send_at = mono_time::max();
    } else if (request.send_at == mono_time::max()) {
        request = {.reader = sender, .send_at = now + change_request_wait};
    }
}

void record_report(update_relay& relay, const endpoint& sender, const reader_report& report, mono_time now) {
    const auto verified_at = now - std::chrono::milliseconds{report.verified_age_ms};
    relay.readers[sender] = {
        .report = report,
        .heard_at = now,
        .verified_at = verified_at,
        .relied_on_until = std::min(now + report_validity, verified_at + verification_validity)};
    std::erase_if(relay.readers,
                  [now](const auto& item) { return now - item.second.heard_at > silent_reader_retention; });
}

void record_sent_report(report_schedule& schedule, mono_time verified_at, mono_time now) noexcept {
    schedule = {.next_report_at = now + report_repeat_wait,
                .repetition_pending = true,
                .reported_verification_at = verified_at};
}

bool is_verification_report_due(const report_schedule& schedule, mono_time verified_at,
                                mono_time now) noexcept {
    if (verified_at < schedule.reported_verification_at + report_repeat_wait) {
        return false;
    }
    // A reader that is not relied on, such as one that has just taken over, reports at once, so that no
    // further director takes over.
    const bool is_relied_on = now < schedule.reported_verification_at + verification_validity;
    return !schedule.repetition_pending || !is_relied_on;
}

std::chrono::milliseconds claim_delay(const endpoint& self) noexcept {
    const double spread =
        static_cast<double>(rank_of(self)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double delay_ms = static_cast<double>(max_claim_delay.count()) * std::cbrt(spread);
    return std::chrono::milliseconds{static_cast<std::int64_t>(delay_ms)};
}

reader_role make_reader_role(const endpoint& self, mono_time now) noexcept {
    return {.listening_until = now + claim_delay(self) + claim_margin};
}

void record_membership(reader_role& role, const endpoint& self, std::span<const endpoint> others, bool listed,
                       mono_time now) {
    if (!listed) {
        role.listening_until = now + report_period + max_report_delay;
        role.one_reader_suffices_until = now + unlisted_takeover_wait + claim_delay(self);
        return;
    }
    const auto own_rank = rank_of(self);
    const auto directors_before = std::ranges::count_if(
        others, [own_rank](const endpoint& other) { return rank_of(other) < own_rank; });
    role.listening_until =
        directors_before < readers_per_failure_domain ? now : now + report_period + max_report_delay;
}

void record_own_read(reader_role& role, mono_time now) noexcept {
    role.store_answers_own_reads = role.store_answers_own_reads || now >= role.own_read_at;
}

mono_time update_reader_role(reader_role& role, const update_relay& relay, const endpoint& self,
                             std::span<const endpoint> others, mono_time now) {
    const auto own_rank = rank_of(self);
    std::ptrdiff_t reliable_readers_before = 0;
    bool store_lost = false;
    mono_time next_decision_at = mono_time::max();
    for (const auto& [sender, reader] : relay.readers) {
        store_lost = store_lost || (reader.report.store_lost && now < reader.heard_at + report_validity);
        if (is_reliable(reader, now)) {
            reliable_readers_before += rank_of(sender) < own_rank ? 1 : 0;
            next_decision_at = std::min(next_decision_at, reader.relied_on_until);
        }
    }
    const bool hears_reader = next_decision_at != mono_time::max();
    update_own_read(role, self, hears_reader, now);
    const auto missing_readers = readers_per_failure_domain - reliable_readers_before;
    if (missing_readers <= 0) {
        role.is_reader = false;
        role.readers_missing_since = mono_time::max();
        return next_decision_at;
    }
    role.readers_missing_since = std::min(role.readers_missing_since, now);
    const auto candidates_before = std::ranges::count_if(others, [&](const endpoint& other) {
        const auto heard = relay.readers.find(other);
        const bool is_reliable_reader = heard != relay.readers.end() && is_reliable(heard->second, now);
        return !is_reliable_reader && rank_of(other) < own_rank;
    });
    const auto position = candidates_before - missing_readers + 1;
    const auto due_at =
        role.store_answers_own_reads ? now : takeover_at(role, position, hears_reader, store_lost);
    role.is_reader = role.is_reader || now >= due_at;
    if (role.is_reader) {
        return next_decision_at;
    }
    const auto next_own_read_at = role.own_read_at > now ? role.own_read_at : mono_time::max();
    return std::min({next_decision_at, due_at, next_own_read_at});
}

std::vector<endpoint> reliable_readers(const update_relay& relay, mono_time now) {
    std::vector<endpoint> heard;
    for (const auto& [sender, reader] : relay.readers) {
        if (is_reliable(reader, now)) {
            heard.push_back(sender);
        }
    }
    return heard;
}

std::optional<relay_coverage> coverage_at(const update_relay& relay, const listing_state& own,
                                          mono_time now) {
    std::optional<relay_coverage> coverage;
    std::uint64_t newest_revision = 0;
    for (const auto& [sender, reader] : relay.readers) {
        if (is_reliable(reader, now)) {
            newest_revision = std::max(newest_revision, reader.report.listing.revision);
        }
    }
    for (const auto& [sender, reader] : relay.readers) {
        if (!is_reliable(reader, now)) {
            continue;
        }
        if (!coverage) {
            coverage.emplace().newest_revision = newest_revision;
        }
        const auto& report = reader.report;
        coverage->until = std::max(coverage->until, reader.relied_on_until);
        coverage->configuration_revision =
            std::max(coverage->configuration_revision, report.configuration_revision);
        const auto store_available_since =
            reader.heard_at - std::chrono::milliseconds{report.store_available_age_ms};
        coverage->store_available_since = std::max(coverage->store_available_since, store_available_since);
        // The digest of a reader that is behind shows nothing about this director's listing.
        const bool has_earlier_era = era_of(report.listing.revision) < era_of(newest_revision);
        if (report.listing.revision < own.revision || has_earlier_era) {
            continue;
        }
        if (report.listing.digest == own.digest) {
            coverage->confirmed_revision = std::max(coverage->confirmed_revision, report.listing.revision);
            coverage->listing_verified_at = std::max(coverage->listing_verified_at, reader.verified_at);
        } else {
            coverage->listing_differs = true;
        }
    }
    return coverage;
}

}  // namespace guavaramp
