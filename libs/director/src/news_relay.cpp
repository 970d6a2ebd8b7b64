#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/news_relay.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <set>
#include <string>
#include <string_view>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t message_fields = 7;
constexpr std::size_t introduction_fields = 5;
constexpr std::size_t report_fields = 6;
constexpr std::size_t delta_fields = 4;
constexpr std::size_t removed_fields = 2;
constexpr std::size_t entry_fields = 12;
/// Entries of a message that is accepted; more do not fit a datagram.
constexpr std::size_t most_accepted_entries = 64;
/// How long a silent reader is remembered. Only its rank would still matter, and that only while it reports.
constexpr auto forget_reader_after = std::chrono::seconds{30};
/// What a report may be late by: timers and the way inside a failure domain.
constexpr auto report_slack = std::chrono::milliseconds{100};
constexpr std::uint64_t rank_seed = 0x72656164657273ULL;

bool is_count(const json& value, std::uint64_t most = std::numeric_limits<std::uint64_t>::max()) {
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}

template <typename Number>
bool read_number(const json& value, Number& out) {
    if (!is_count(value, static_cast<std::uint64_t>(std::numeric_limits<Number>::max()))) {
        return false;
    }
    out = static_cast<Number>(value.get<std::uint64_t>());
    return true;
}

bool read_text(const json& value, std::string& out) {
    if (!value.is_string()) {
        return false;
    }
    out = value.get<std::string>();
    return true;
}

/// Reads each element of an array with `read`.
template <typename Value, typename Read>
bool read_array(const json& from, std::vector<Value>& out, Read read) {
    if (!from.is_array() || from.size() > most_accepted_entries) {
        return false;
    }
    for (const auto& element : from) {
        if (!read(element, out.emplace_back())) {
            return false;
        }
    }
    return true;
}

json to_json(const reader_report& report) {
    return json::array({report.listing.revision, report.listing.digest, report.configuration_revision,
                        report.verified_age_ms, report.steady_age_ms, report.store_lost});
}

bool read_flag(const json& value, bool& out) {
    if (!value.is_boolean()) {
        return false;
    }
    out = value.get<bool>();
    return true;
}

bool read_report(const json& value, reader_report& out) {
    return value.is_array() && value.size() == report_fields && read_number(value[0], out.listing.revision) &&
           read_number(value[1], out.listing.digest) && read_number(value[2], out.configuration_revision) &&
           read_number(value[3], out.verified_age_ms) && read_number(value[4], out.steady_age_ms) &&
           read_flag(value[5], out.store_lost);
}

json to_json(const upstream_report& entry) {
    return json::array(
        {entry.id, entry.delivery_id, entry.service, entry.address, entry.port, entry.failure_domain,
         entry.slots, static_cast<std::uint8_t>(entry.phase), std::max<std::int64_t>(entry.warmup_left_ms, 0),
         std::max<std::int64_t>(entry.started_unix_ms, 0), entry.revision, entry.created_revision});
}

bool read_entry(const json& value, upstream_report& out) {
    std::uint8_t phase = 0;
    const bool valid =
        value.is_array() && value.size() == entry_fields && read_text(value[0], out.id) &&
        read_number(value[1], out.delivery_id) && read_text(value[2], out.service) &&
        read_number(value[3], out.address) && read_number(value[4], out.port) &&
        read_text(value[5], out.failure_domain) && read_number(value[6], out.slots) &&
        read_number(value[7], phase) && phase <= static_cast<std::uint8_t>(upstream_phase::unusable) &&
        read_number(value[8], out.warmup_left_ms) && read_number(value[9], out.started_unix_ms) &&
        read_number(value[10], out.revision) && read_number(value[11], out.created_revision);
    out.phase = upstream_phase{phase};
    return valid;
}

json to_json(const listing_delta& delta) {
    json entries = json::array();
    for (const auto& entry : delta.news.reports) {
        entries.push_back(to_json(entry));
    }
    json removed = json::array();
    for (const auto& gone : delta.news.removed) {
        removed.push_back(json::array({gone.id, gone.revision}));
    }
    return json::array({delta.after_revision, delta.news.revision, std::move(entries), std::move(removed)});
}

bool read_removed(const json& value, removed_upstream& out) {
    return value.is_array() && value.size() == removed_fields && read_text(value[0], out.id) &&
           read_number(value[1], out.revision);
}

bool read_delta(const json& value, listing_delta& out) {
    return value.is_array() && value.size() == delta_fields && read_number(value[0], out.after_revision) &&
           read_number(value[1], out.news.revision) && read_array(value[2], out.news.reports, read_entry) &&
           read_array(value[3], out.news.removed, read_removed);
}

json to_json(const std::vector<endpoint>& sockets) {
    json texts = json::array();
    for (const auto& socket : sockets) {
        texts.push_back(to_string(socket));
    }
    return texts;
}

json to_json(const roster_member& member) {
    return json::array({to_string(member.peer.address), to_string(member.peer.news),
                        to_string(member.peer.admin), member.peer.failure_domain, member.incarnation});
}

bool read_socket(const json& value, endpoint& out) {
    const auto parsed = value.is_string() ? parse_endpoint(value.get<std::string>())
                                          : fail(error_kind::malformed, "no socket");
    out = parsed.value_or(endpoint{});
    return parsed.has_value();
}

bool read_introduction(const json& value, roster_member& out) {
    return value.is_array() && value.size() == introduction_fields &&
           read_socket(value[0], out.peer.address) && read_socket(value[1], out.peer.news) &&
           read_socket(value[2], out.peer.admin) && read_text(value[3], out.peer.failure_domain) &&
           read_number(value[4], out.incarnation);
}

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

std::vector<std::uint8_t> encode_relay_message(const relay_message& message) {
    return json::to_cbor(
        json::array({to_json(message.report), message.delta ? to_json(*message.delta) : json{},
                     message.introduction ? to_json(*message.introduction) : json{}, to_json(message.readers),
                     message.expected_incarnation, message.wants_after ? json(*message.wants_after) : json{},
                     to_json(message.pass_to)}));
}

result<relay_message> decode_relay_message(std::span<const std::byte> bytes) {
    const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto value = json::from_cbor(begin, begin + bytes.size(), true, false);
    relay_message message;
    if (!value.is_array() || value.size() != message_fields || !read_report(value[0], message.report)) {
        return fail(error_kind::malformed,
                    "a message is not [report, delta, introduction, readers, incarnation, question, "
                    "receivers]");
    }
    if (!value[1].is_null() && !read_delta(value[1], message.delta.emplace())) {
        return fail(error_kind::malformed, "a delta is not [after, up to, entries, removed]");
    }
    if (!value[2].is_null() && !read_introduction(value[2], message.introduction.emplace())) {
        return fail(error_kind::malformed, "an introduction is not [sockets, failure domain, incarnation]");
    }
    const bool complete =
        read_array(value[3], message.readers, read_socket) && message.readers.size() <= most_named_readers &&
        read_number(value[4], message.expected_incarnation) &&
        (value[5].is_null() || read_number(value[5], message.wants_after.emplace())) &&
        read_array(value[6], message.pass_to, read_socket) && message.pass_to.size() <= most_passed_on;
    if (!complete) {
        return fail(error_kind::malformed, "the sockets or numbers of a message cannot be read");
    }
    return message;
}

std::vector<listing_delta> split_delta(const listing_delta& delta) {
    struct change {
        std::uint64_t revision;
        const upstream_report* report;
        const removed_upstream* removed;
    };
    std::vector<change> changes;
    for (const auto& report : delta.news.reports) {
        changes.push_back({.revision = report.revision, .report = &report, .removed = nullptr});
    }
    for (const auto& removed : delta.news.removed) {
        changes.push_back({.revision = removed.revision, .report = nullptr, .removed = &removed});
    }
    std::ranges::stable_sort(changes, {}, &change::revision);
    std::vector<listing_delta> parts{{.after_revision = delta.after_revision, .news = {}}};
    std::uint64_t last_revision = delta.after_revision;
    for (const auto& next : changes) {
        const auto& news = parts.back().news;
        const bool full = news.reports.size() + news.removed.size() >= most_relayed_entries;
        if (full) {
            auto& part = parts.back();
            part.news.revision = next.revision > last_revision ? last_revision : part.after_revision;
            parts.push_back({.after_revision = part.news.revision, .news = {}});
        }
        if (next.report != nullptr) {
            parts.back().news.reports.push_back(*next.report);
        } else {
            parts.back().news.removed.push_back(*next.removed);
        }
        last_revision = std::max(last_revision, next.revision);
    }
    parts.back().news.revision = std::max(delta.news.revision, last_revision);
    return parts;
}

delta_fit fit_of(const listing_delta& delta, std::uint64_t known) noexcept {
    if (delta.after_revision > known) {
        return delta_fit::gap;
    }
    const bool promises = delta.news.revision > delta.after_revision;
    const auto newest = promises ? delta.news.revision : delta.after_revision + 1;
    return newest > known ? delta_fit::applies : delta_fit::known;
}

listing_delta delta_between(std::uint64_t after_revision, const upstream_listing& listing,
                            std::span<const upstream_change> changes) {
    std::set<std::string_view> changed;
    listing_delta delta{.after_revision = after_revision, .news = {.revision = listing.revision}};
    for (const auto& change : changes) {
        if (change.kind == upstream_change_kind::unlisted) {
            // When exactly it was removed is unknown; it was before the listing was read.
            delta.news.removed.push_back({.id = change.id, .revision = listing.revision});
        }
        changed.insert(change.id);
    }
    // A reader that had missed a change may have passed on later ones, so revisions alone do not tell.
    std::ranges::copy_if(listing.reports, std::back_inserter(delta.news.reports),
                         [after_revision, &changed](const upstream_report& report) {
                             return report.revision > after_revision || changed.contains(report.id);
                         });
    return delta;
}

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

std::optional<listing_delta> delta_since(const upstream_directory& directory, std::uint64_t revision,
                                         std::uint64_t after_revision) {
    listing_delta delta{.after_revision = after_revision, .news = {.revision = revision}};
    for (const auto& [id, known] : directory.by_id) {
        if (known.listed && known.report.revision > after_revision) {
            delta.news.reports.push_back(known.report);
        } else if (!known.listed && known.unlisted_revision > after_revision) {
            delta.news.removed.push_back({.id = id, .revision = known.unlisted_revision});
        }
    }
    const bool short_enough = delta.news.reports.size() + delta.news.removed.size() <= most_asked_changes;
    return short_enough ? std::optional{std::move(delta)} : std::nullopt;
}

reader_report make_lost_report() noexcept {
    auto report = make_greeting();
    report.store_lost = true;
    return report;
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

reader_report make_greeting() noexcept {
    return {.verified_age_ms = std::numeric_limits<std::uint32_t>::max()};
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
