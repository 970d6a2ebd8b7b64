#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/news_relay.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace guavaramp {
namespace {

/// How long a silent reader is remembered. Only its rank would still matter, and that only while it reports.
constexpr auto forget_reader_after = std::chrono::seconds{30};
/// What a report may be late by: timers and the way inside a failure domain.
constexpr auto report_slack = std::chrono::milliseconds{100};
constexpr std::uint64_t rank_seed = 0x72656164657273ULL;

/// Position of a director among the possible readers; equal everywhere.
std::uint64_t rank_of(const endpoint& director) noexcept {
    return hash_bytes(std::as_bytes(std::span{director.address.bytes}), rank_seed + director.port);
}

/// How long a director waits for those before it in the line to take over.
std::chrono::milliseconds takeover_wait(std::ptrdiff_t position, bool store_lost) noexcept {
    const auto steps = std::clamp<std::ptrdiff_t>(position, 0, most_takeover_steps);
    const auto slow_steps = store_lost ? std::max<std::ptrdiff_t>(position - most_takeover_steps, 0) : 0;
    return steps * takeover_step + slow_steps * slow_takeover_step;
}

bool is_reliable(const known_reader& reader, mono_time now) noexcept {
    return now < reader.heard_at + report_validity &&
           std::chrono::milliseconds{reader.report.verified_age_ms} <= longest_verified_age;
}

}  // namespace

std::vector<spread_group> spread_groups(std::span<const endpoint> receivers, const endpoint& reader) {
    std::vector<endpoint> order{receivers.begin(), receivers.end()};
    std::vector<spread_group> groups;
    if (order.size() <= most_direct_receivers) {
        std::ranges::transform(order, std::back_inserter(groups),
                               [](const endpoint& receiver) { return spread_group{.head = receiver}; });
        return groups;
    }
    std::ranges::sort(order, {}, [&reader](const endpoint& receiver) {
        return mix_hashes(rank_of(reader), rank_of(receiver));
    });
    const auto side = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(order.size()))));
    const auto members = std::min(side, most_passed_on + 1);
    for (std::size_t begin = 0; begin < order.size(); begin += members) {
        const auto end = std::min(begin + members, order.size());
        groups.push_back({.head = order[begin],
                          .others = {order.begin() + static_cast<std::ptrdiff_t>(begin) + 1,
                                     order.begin() + static_cast<std::ptrdiff_t>(end)}});
    }
    return groups;
}

void note_difference(news_question& question, const endpoint& sender, const reader_report& report,
                     const listing_state& own, mono_time now) {
    const bool knows_own = own.revision != 0 && report.listing.revision >= own.revision;
    if (!knows_own || std::chrono::milliseconds{report.verified_age_ms} > longest_verified_age) {
        return;
    }
    if (report.listing.digest == own.digest) {
        question.ask_at = mono_time::max();
    } else if (question.ask_at == mono_time::max()) {
        question = {.reader = sender, .ask_at = now + ask_wait};
    }
}

void note_report(news_relay& relay, const endpoint& sender, const reader_report& report, mono_time now) {
    relay.readers[sender] = {.report = report, .heard_at = now};
    std::erase_if(relay.readers,
                  [now](const auto& item) { return now - item.second.heard_at > forget_reader_after; });
}

std::chrono::milliseconds claim_delay(const endpoint& self) noexcept {
    const double spread =
        static_cast<double>(rank_of(self)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double delay_ms = static_cast<double>(longest_claim_delay.count()) * std::cbrt(spread);
    return std::chrono::milliseconds{static_cast<std::int64_t>(delay_ms)};
}

reader_role make_role(const endpoint& self, mono_time now) noexcept {
    return {.listens_until = now + claim_delay(self) + claim_slack};
}

void note_roster(reader_role& role, const endpoint& self, std::span<const endpoint> others, bool listed,
                 mono_time now) {
    if (!listed) {
        role.listens_until = now + report_period + report_slack;
        role.one_reader_does_until = now + unlisted_patience + claim_delay(self);
        return;
    }
    const auto own_rank = rank_of(self);
    const auto before = std::ranges::count_if(
        others, [own_rank](const endpoint& other) { return rank_of(other) < own_rank; });
    role.listens_until = before < readers_per_failure_domain ? now : now + report_period + report_slack;
}

mono_time update_role(reader_role& role, const news_relay& relay, const endpoint& self,
                      std::span<const endpoint> others, mono_time now) {
    const auto own_rank = rank_of(self);
    std::ptrdiff_t reliable_before = 0;
    bool store_lost = false;
    mono_time reconsider_at = mono_time::max();
    for (const auto& [sender, reader] : relay.readers) {
        store_lost = store_lost || (reader.report.store_lost && now < reader.heard_at + report_validity);
        if (is_reliable(reader, now)) {
            reliable_before += rank_of(sender) < own_rank ? 1 : 0;
            reconsider_at = std::min(reconsider_at, reader.heard_at + report_validity);
        }
    }
    const auto missing = readers_per_failure_domain - reliable_before;
    if (missing <= 0) {
        role.reads = false;
        role.short_since = mono_time::max();
        return reconsider_at;
    }
    role.short_since = std::min(role.short_since, now);
    const auto before_self = std::ranges::count_if(others, [&](const endpoint& other) {
        const auto heard = relay.readers.find(other);
        const bool reads = heard != relay.readers.end() && is_reliable(heard->second, now);
        return !reads && rank_of(other) < own_rank;
    });
    const bool hears_one = reconsider_at != mono_time::max();
    const auto takeover_at =
        std::max({role.listens_until, role.short_since + takeover_wait(before_self - missing + 1, store_lost),
                  hears_one ? role.one_reader_does_until : mono_time{}});
    role.reads = role.reads || now >= takeover_at;
    return role.reads ? reconsider_at : std::min(reconsider_at, takeover_at);
}

std::vector<endpoint> heard_readers(const news_relay& relay, mono_time now) {
    std::vector<endpoint> heard;
    for (const auto& [sender, reader] : relay.readers) {
        if (is_reliable(reader, now)) {
            heard.push_back(sender);
        }
    }
    return heard;
}

std::optional<relay_coverage> coverage_at(const news_relay& relay, const listing_state& own, mono_time now) {
    std::optional<relay_coverage> coverage;
    for (const auto& [sender, reader] : relay.readers) {
        if (!is_reliable(reader, now)) {
            continue;
        }
        if (!coverage) {
            coverage.emplace();
        }
        const auto& report = reader.report;
        coverage->until = std::max(coverage->until, reader.heard_at + report_validity);
        coverage->configuration_revision =
            std::max(coverage->configuration_revision, report.configuration_revision);
        const auto steady_since = reader.heard_at - std::chrono::milliseconds{report.steady_age_ms};
        coverage->steady_since = std::max(coverage->steady_since, steady_since);
        // A reader that is behind says nothing about this director's listing.
        if (report.listing.revision < own.revision) {
            continue;
        }
        if (report.listing.digest == own.digest) {
            coverage->confirmed_revision = std::max(coverage->confirmed_revision, report.listing.revision);
        } else {
            coverage->listing_differs = true;
        }
    }
    return coverage;
}

}  // namespace guavaramp
