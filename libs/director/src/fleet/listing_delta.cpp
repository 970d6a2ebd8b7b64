#include <guavaramp/director/listing_delta.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace guavaramp {

namespace {

/// Most bytes that an entry takes in a message beside its texts: 12 fields, of which 5 are 64-bit numbers.
constexpr std::size_t max_fixed_entry_bytes = 80;

struct entry_change {
    std::uint64_t revision;
    const upstream_report* report;
    const removed_upstream* removed;
};

/// Returns an upper bound of the bytes that `change` takes in a message.
std::size_t encoded_bytes_of(const entry_change& change) noexcept {
    const auto text_bytes =
        change.report == nullptr
            ? change.removed->id.size()
            : change.report->id.size() + change.report->service.size() + change.report->failure_domain.size();
    return max_fixed_entry_bytes + text_bytes;
}

}  // namespace

std::vector<listing_delta> split_delta(const listing_delta& delta) {
    std::vector<entry_change> changes;
    for (const auto& report : delta.update.reports) {
        changes.push_back({.revision = report.revision, .report = &report, .removed = nullptr});
    }
    for (const auto& removed : delta.update.removed) {
        changes.push_back({.revision = removed.revision, .report = nullptr, .removed = &removed});
    }
    std::ranges::stable_sort(changes, {}, &entry_change::revision);
    std::vector<listing_delta> parts{{.after_revision = delta.after_revision, .update = {}}};
    // A full read of several pages is no snapshot: entries of later pages may be newer than the revision up
    // to which the read is complete. They are sent, but they do not raise the revision of the delta.
    const auto complete_revision = std::max(delta.update.revision, delta.after_revision);
    std::uint64_t last_revision = delta.after_revision;
    std::size_t entries = 0;
    std::size_t entry_bytes = 0;
    for (const auto& change : changes) {
        const auto bytes = encoded_bytes_of(change);
        const bool is_full = entries >= max_entries_per_message ||
                             (entries > 0 && entry_bytes + bytes > max_entry_bytes_per_message);
        if (is_full) {
            entries = 0;
            entry_bytes = 0;
            auto& part = parts.back();
            part.update.revision = change.revision > last_revision ? last_revision : part.after_revision;
            parts.push_back({.after_revision = part.update.revision, .update = {}});
        }
        if (change.report != nullptr) {
            parts.back().update.reports.push_back(*change.report);
        } else {
            parts.back().update.removed.push_back(*change.removed);
        }
        ++entries;
        entry_bytes += bytes;
        last_revision = std::clamp(change.revision, last_revision, complete_revision);
    }
    parts.back().update.revision = complete_revision;
    return parts;
}

delta_status delta_status_of(const listing_delta& delta, std::uint64_t known_revision) noexcept {
    if (delta.after_revision > known_revision) {
        return delta_status::gap;
    }
    const bool raises_revision = delta.update.revision > delta.after_revision;
    const auto newest_revision = raises_revision ? delta.update.revision : delta.after_revision + 1;
    return newest_revision > known_revision ? delta_status::applies : delta_status::already_known;
}

std::uint64_t newest_revision_of(const listing_delta& delta) noexcept {
    auto newest = std::max(delta.after_revision, delta.update.revision);
    for (const auto& report : delta.update.reports) {
        newest = std::max(newest, report.revision);
    }
    for (const auto& removed : delta.update.removed) {
        newest = std::max(newest, removed.revision);
    }
    return newest;
}

applied_delta apply_delta(upstream_directory& directory, const listing_delta& delta,
                          std::uint64_t known_revision, mono_time now, mono_time keep_unlisted_since) {
    const auto status = delta_status_of(delta, known_revision);
    if (status == delta_status::gap) {
        return {.status = status, .known_revision = known_revision, .changes = {}};
    }
    // The entries of a delta whose revision is known may still be new here, when a reader has found a change
    // that it had missed.
    return {.status = status,
            .known_revision = std::max(known_revision, delta.update.revision),
            .changes = apply_update(directory, delta.update, now, keep_unlisted_since)};
}

listing_delta delta_between(std::uint64_t after_revision, const upstream_listing& listing,
                            std::span<const upstream_change> changes) {
    std::set<std::string_view> changed;
    listing_delta delta{.after_revision = after_revision, .update = {.revision = listing.revision}};
    for (const auto& change : changes) {
        if (change.kind == upstream_change_kind::unlisted) {
            // The exact revision of the removal is unknown; it is not above that of the listing.
            delta.update.removed.push_back({.id = change.id, .revision = listing.revision});
        }
        changed.insert(change.id);
    }
    // This director may have missed a change and relayed later ones, so an entry whose change it has only now
    // found belongs to the delta even if its revision is not above `after_revision`.
    std::ranges::copy_if(listing.reports, std::back_inserter(delta.update.reports),
                         [after_revision, &changed](const upstream_report& report) {
                             return report.revision > after_revision || changed.contains(report.id);
                         });
    return delta;
}

std::optional<listing_delta> delta_since(const upstream_directory& directory, std::uint64_t revision,
                                         std::uint64_t after_revision) {
    listing_delta delta{.after_revision = after_revision, .update = {.revision = revision}};
    for (const auto& [id, known] : directory.by_id) {
        if (known.listed && known.report.revision > after_revision) {
            delta.update.reports.push_back(known.report);
        } else if (!known.listed && known.unlisted_revision > after_revision) {
            delta.update.removed.push_back({.id = id, .revision = known.unlisted_revision});
        }
    }
    const bool fits_limit =
        delta.update.reports.size() + delta.update.removed.size() <= max_requested_changes;
    return fits_limit ? std::optional{std::move(delta)} : std::nullopt;
}

}  // namespace guavaramp
