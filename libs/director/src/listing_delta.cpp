#include <guavaramp/director/listing_delta.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace guavaramp {

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

}  // namespace guavaramp
