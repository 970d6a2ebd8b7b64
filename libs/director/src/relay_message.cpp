#include "json_reading.hpp"

#include <guavaramp/director/relay_message.hpp>

#include <algorithm>
#include <limits>
#include <string>

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

json to_json(const reader_report& report) {
    return json::array({report.listing.revision, report.listing.digest, report.configuration_revision,
                        report.verified_age_ms, report.steady_age_ms, report.store_lost});
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
           read_number(value[1], out.news.revision) &&
           read_array(value[2], most_accepted_entries, out.news.reports, read_entry) &&
           read_array(value[3], most_accepted_entries, out.news.removed, read_removed);
}

json to_json(const roster_member& member) {
    return json::array({to_string(member.peer.address), to_string(member.peer.news),
                        to_string(member.peer.admin), member.peer.failure_domain, member.incarnation});
}

bool read_introduction(const json& value, roster_member& out) {
    return value.is_array() && value.size() == introduction_fields &&
           read_socket(value[0], out.peer.address) && read_socket(value[1], out.peer.news) &&
           read_socket(value[2], out.peer.admin) && read_text(value[3], out.peer.failure_domain) &&
           read_number(value[4], out.incarnation);
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
    const bool complete = read_array(value[3], most_named_readers, message.readers, read_socket) &&
                          read_number(value[4], message.expected_incarnation) &&
                          (value[5].is_null() || read_number(value[5], message.wants_after.emplace())) &&
                          read_array(value[6], most_passed_on, message.pass_to, read_socket);
    if (!complete) {
        return fail(error_kind::malformed, "the sockets or numbers of a message cannot be read");
    }
    return message;
}

reader_report make_greeting() noexcept {
    return {.verified_age_ms = std::numeric_limits<std::uint32_t>::max()};
}

reader_report make_lost_report() noexcept {
    auto report = make_greeting();
    report.store_lost = true;
    return report;
}

}  // namespace guavaramp
