#include "json_fields.hpp"

#include <guavaramp/base/cbor.hpp>
#include <guavaramp/director/relay_message.hpp>
#include <guavaramp/director/store_revision.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t message_fields = 7;
constexpr std::size_t introduction_fields = 5;
constexpr std::size_t report_fields = 6;
constexpr std::size_t report_fields_with_eras = 8;
/// The eras, the revision of the evacuated failure domains, and their names or the digest of these.
constexpr std::size_t report_fields_with_evacuations = 10;
constexpr std::size_t delta_fields = 4;
constexpr std::size_t removed_upstream_fields = 2;
constexpr std::size_t entry_fields = 12;
/// Entries that an accepted message may have; more do not fit into a datagram.
constexpr std::size_t max_accepted_entries = 64;

/// Returns the JSON form of a report. After a restore of the store, or with evacuations, two fields with the
/// revisions' eras follow: composed revisions take 12 bytes more, with which the reports at the design size
/// exceed their limit.
json to_json(const reader_report& report) {
    auto fields = json::array({store_revision_of(report.listing.revision), report.listing.digest,
                               store_revision_of(report.configuration_revision), report.verified_age_ms,
                               report.store_available_age_ms, report.store_lost});
    const auto listing_era = era_of(report.listing.revision);
    const auto configuration_era = era_of(report.configuration_revision);
    const auto& evacuations = report.evacuations;
    if (listing_era != 0 || configuration_era != 0 || evacuations.revision != 0) {
        fields.push_back(listing_era);
        fields.push_back(configuration_era);
    }
    if (evacuations.revision != 0) {
        fields.push_back(evacuations.revision);
        fields.push_back(evacuations.names ? json(*evacuations.names) : json(evacuations.digest));
    }
    return fields;
}

bool read_evacuations(const json& revision, const json& content, evacuation_report& target) {
    if (!read_number(revision, target.revision) || target.revision == 0) {
        return false;
    }
    if (!content.is_array()) {
        return read_number(content, target.digest);
    }
    const auto& names = target.names.emplace();
    return read_array(content, max_evacuated_domains, *target.names, read_text) &&
           std::ranges::all_of(names, is_evacuation_name);
}

/// Reads a revision whose store part is in `value`, and its era, if there is one, in field `era_field` of
/// `fields`.
bool read_revision(const json& value, const json& fields, std::size_t era_field, std::uint64_t& target) {
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
    const bool is_valid =
        is_unsigned_at_most(value, max_store_revision) && read_number(value, revision) &&
        (fields.size() == report_fields ||
         (is_unsigned_at_most(fields[era_field], max_store_era) && read_number(fields[era_field], era)));
    target = ordered_revision(era, revision);
    return is_valid;
}

bool read_report(const json& value, reader_report& target) {
    const bool has_evacuations = value.is_array() && value.size() == report_fields_with_evacuations;
    return value.is_array() &&
           (value.size() == report_fields || value.size() == report_fields_with_eras || has_evacuations) &&
           read_revision(value[0], value, report_fields, target.listing.revision) &&
           read_number(value[1], target.listing.digest) &&
           read_revision(value[2], value, report_fields + 1, target.configuration_revision) &&
           read_number(value[3], target.verified_age_ms) &&
           read_number(value[4], target.store_available_age_ms) && read_flag(value[5], target.store_lost) &&
           (!has_evacuations || read_evacuations(value[8], value[9], target.evacuations));
}

json to_json(const upstream_report& entry) {
    return json::array(
        {entry.id, entry.delivery_id, entry.service, entry.address, entry.port, entry.failure_domain,
         entry.slots, static_cast<std::uint8_t>(entry.phase), std::max<std::int64_t>(entry.warmup_left_ms, 0),
         std::max<std::int64_t>(entry.started_unix_ms, 0), entry.revision, entry.created_revision});
}

bool read_entry(const json& value, upstream_report& target) {
    std::uint8_t phase = 0;
    const bool valid =
        value.is_array() && value.size() == entry_fields && read_text(value[0], target.id) &&
        read_number(value[1], target.delivery_id) && read_text(value[2], target.service) &&
        read_number(value[3], target.address) && read_number(value[4], target.port) &&
        read_text(value[5], target.failure_domain) && read_number(value[6], target.slots) &&
        read_number(value[7], phase) && phase <= static_cast<std::uint8_t>(upstream_phase::unusable) &&
        read_number(value[8], target.warmup_left_ms) && read_number(value[9], target.started_unix_ms) &&
        read_number(value[10], target.revision) && read_number(value[11], target.created_revision);
    target.phase = upstream_phase{phase};
    return valid;
}

json to_json(const listing_delta& delta) {
    json entries = json::array();
    for (const auto& entry : delta.update.reports) {
        entries.push_back(to_json(entry));
    }
    json removed = json::array();
    for (const auto& entry : delta.update.removed) {
        removed.push_back(json::array({entry.id, entry.revision}));
    }
    return json::array({delta.after_revision, delta.update.revision, std::move(entries), std::move(removed)});
}

bool read_removed(const json& value, removed_upstream& target) {
    return value.is_array() && value.size() == removed_upstream_fields && read_text(value[0], target.id) &&
           read_number(value[1], target.revision);
}

bool read_delta(const json& value, listing_delta& target) {
    return value.is_array() && value.size() == delta_fields && read_number(value[0], target.after_revision) &&
           read_number(value[1], target.update.revision) &&
           read_array(value[2], max_accepted_entries, target.update.reports, read_entry) &&
           read_array(value[3], max_accepted_entries, target.update.removed, read_removed);
}

json to_json(const domain_member& member) {
    return json::array({to_string(member.peer.observation_address), to_string(member.peer.update_address),
                        to_string(member.peer.admin_address), member.peer.failure_domain,
                        member.incarnation});
}

bool read_introduction(const json& value, domain_member& target) {
    return value.is_array() && value.size() == introduction_fields &&
           read_socket(value[0], target.peer.observation_address) &&
           read_socket(value[1], target.peer.update_address) &&
           read_socket(value[2], target.peer.admin_address) &&
           read_text(value[3], target.peer.failure_domain) && read_number(value[4], target.incarnation);
}

}  // namespace

std::vector<std::uint8_t> encode_relay_message(const relay_message& message) {
    return json::to_cbor(
        json::array({to_json(message.report), message.delta ? to_json(*message.delta) : json{},
                     message.introduction ? to_json(*message.introduction) : json{}, to_json(message.readers),
                     message.expected_incarnation,
                     message.changes_wanted_after ? json(*message.changes_wanted_after) : json{},
                     to_json(message.forward_to)}));
}

result<relay_message> decode_relay_message(std::span<const std::byte> bytes) {
    const auto value = parse_cbor(bytes);
    relay_message message;
    if (!value.is_array() || value.size() != message_fields || !read_report(value[0], message.report)) {
        return fail(error_kind::malformed,
                    "a relay message is not an array of 7 fields: report, delta, introduction, readers, "
                    "expected incarnation, revision of the change request, receivers to forward to; or its "
                    "report cannot be read");
    }
    if (!value[1].is_null() && !read_delta(value[1], message.delta.emplace())) {
        return fail(error_kind::malformed,
                    "the delta of a relay message is not [after revision, up to revision, entries, removed]");
    }
    if (!value[2].is_null() && !read_introduction(value[2], message.introduction.emplace())) {
        return fail(error_kind::malformed,
                    "the introduction of a relay message is not [3 sockets, failure domain, incarnation]");
    }
    const bool is_valid =
        read_array(value[3], max_named_readers, message.readers, read_socket) &&
        read_number(value[4], message.expected_incarnation) &&
        (value[5].is_null() || read_number(value[5], message.changes_wanted_after.emplace())) &&
        read_array(value[6], max_forward_receivers, message.forward_to, read_socket);
    if (!is_valid) {
        return fail(
            error_kind::malformed,
            "the readers, the expected incarnation, the revision of the change request or the receivers "
            "of a relay message cannot be read");
    }
    return message;
}

reader_report make_non_reader_report() noexcept {
    return {.verified_age_ms = std::numeric_limits<std::uint32_t>::max()};
}

reader_report make_store_lost_report() noexcept {
    auto report = make_non_reader_report();
    report.store_lost = true;
    return report;
}

}  // namespace guavaramp
