#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/store_revision.hpp>
#include <guavaramp/director/upstreams.hpp>
#include <guavaramp/director/urgent_capacity.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace guavaramp {
namespace {

/// Seed of the hash by which delivery ids above 32 bits become tags.
constexpr std::uint64_t tag_seed = 0x7461672d6f66ULL;

upstream_change make_change(upstream_change_kind kind, const upstream_report& report) {
    return {.kind = kind,
            .id = report.id,
            .service = report.service,
            .phase = report.phase,
            .revision = report.revision};
}

/// Limit of a cold period. A longer one was not written by a host.
constexpr std::int64_t max_warmup_ms = 600'000;

/// Returns the end of the cold period in an entry that was received at `now`.
mono_time warm_at(const upstream_report& report, mono_time now) noexcept {
    return report.warmup_left_ms <= 0
               ? mono_time{}
               : now + std::chrono::milliseconds{std::min(report.warmup_left_ms, max_warmup_ms)};
}

/// Returns whether `known` keeps draining although `report` says ready: it drained in an earlier era of the
/// store and has not restarted since. The entry may come from a backup that is older than the drain.
bool keeps_draining(const known_upstream& known, const upstream_report& report) noexcept {
    return known.drain_revision != 0 && era_of(report.revision) > era_of(known.drain_revision) &&
           report.started_unix_ms == known.report.started_unix_ms;
}

void apply_report(upstream_directory& directory, upstream_report report, mono_time now,
                  std::vector<upstream_change>& changes) {
    if (era_of(report.revision) < era_of(directory.revision)) {
        return;
    }
    const auto [position, inserted] = directory.by_id.try_emplace(
        report.id, known_upstream{.report = report, .warm_at = warm_at(report, now)});
    auto& known = position->second;
    if (inserted) {
        known.drain_revision = report.phase == upstream_phase::draining ? report.revision : 0;
        changes.push_back(make_change(upstream_change_kind::appeared, report));
        return;
    }
    const bool is_older_than_removal = !known.listed && report.revision < known.unlisted_revision;
    if (report.revision < known.report.revision || is_older_than_removal) {
        return;
    }
    if (report.phase == upstream_phase::draining) {
        known.drain_revision = report.revision;
    } else if (report.phase == upstream_phase::ready) {
        if (keeps_draining(known, report)) {
            report.phase = upstream_phase::draining;
        } else {
            known.drain_revision = 0;
        }
    }
    known.absent_by_restore = false;
    if (!known.listed) {
        changes.push_back(make_change(upstream_change_kind::returned, report));
    } else if (report.started_unix_ms != known.report.started_unix_ms) {
        changes.push_back(make_change(upstream_change_kind::restarted, report));
    } else if (report.phase != known.report.phase) {
        changes.push_back(make_change(upstream_change_kind::phase_changed, report));
    }
    known.listed = true;
    if (report.revision > known.report.revision) {
        known.warm_at = warm_at(report, now);
    }
    if (report.phase == upstream_phase::unusable && known.report.address != 0) {
        // The last readable entry still has the address for the open flows.
        known.report.phase = report.phase;
        known.report.revision = report.revision;
        return;
    }
    known.report = std::move(report);
}

void mark_unlisted(known_upstream& known, std::uint64_t revision, mono_time now,
                   std::vector<upstream_change>& changes) {
    if (known.listed) {
        known.listed = false;
        known.unlisted_at = now;
        known.unlisted_revision = revision;
        known.absent_by_restore =
            known.report.phase == upstream_phase::ready && era_of(revision) > era_of(known.report.revision);
        changes.push_back(make_change(upstream_change_kind::unlisted, known.report));
    }
}

void remove_expired_upstreams(upstream_directory& directory, mono_time keep_since,
                              std::vector<upstream_change>& changes) {
    std::erase_if(directory.by_id, [keep_since, &changes](const auto& item) {
        const auto& known = item.second;
        const bool is_expired = !known.listed && known.unlisted_at < keep_since;
        if (is_expired) {
            changes.push_back(make_change(upstream_change_kind::forgotten, known.report));
        }
        return is_expired;
    });
}

/// Returns whether `known` takes new flows, if it owns its tag.
bool is_open_for_flows(const known_upstream& known, const domain_names& evacuated_domains) noexcept {
    return (known.listed || known.absent_by_restore) && known.report.phase == upstream_phase::ready &&
           !evacuated_domains.contains(known.report.failure_domain);
}

/// Returns the tags of the listed ones of `upstreams`, which are ordered by creation, whose address a later
/// one has.
std::unordered_set<std::uint32_t> find_replaced_tags(const std::vector<known_upstream>& upstreams) {
    std::unordered_set<std::uint32_t> replaced;
    std::unordered_set<std::uint64_t> later_addresses;
    for (auto known = upstreams.rbegin(); known != upstreams.rend(); ++known) {
        const auto& report = known->report;
        const bool has_address = known->listed && report.address != 0;
        if (has_address &&
            !later_addresses.insert(std::uint64_t{report.address} << 16U | report.port).second) {
            replaced.insert(static_cast<std::uint32_t>(tag_of(report.delivery_id)));
        }
    }
    return replaced;
}

}  // namespace

steering_tag tag_of(std::uint64_t delivery_id) noexcept {
    // An id of up to 32 bits other than 0 is its own tag, so such ids cannot collide with each other.
    const bool fits_in_tag = delivery_id <= std::numeric_limits<std::uint32_t>::max();
    const auto tag =
        static_cast<std::uint32_t>(fits_in_tag ? delivery_id : mix_hashes(delivery_id, tag_seed) >> 32U);
    return steering_tag{tag == 0 ? 1U : tag};
}

std::string_view to_string(upstream_change_kind kind) noexcept {
    switch (kind) {
        case upstream_change_kind::appeared:
            return "appeared";
        case upstream_change_kind::returned:
            return "returned";
        case upstream_change_kind::restarted:
            return "restarted";
        case upstream_change_kind::phase_changed:
            return "phase_changed";
        case upstream_change_kind::unlisted:
            return "unlisted";
        case upstream_change_kind::forgotten:
            return "forgotten";
    }
    return "unknown";
}

std::string_view to_string(upstream_phase phase) noexcept {
    switch (phase) {
        case upstream_phase::ready:
            return "ready";
        case upstream_phase::draining:
            return "draining";
        case upstream_phase::unusable:
            return "unusable";
    }
    return "unknown";
}

std::vector<upstream_change> apply_listing(upstream_directory& directory, const upstream_listing& listing,
                                           mono_time now, mono_time keep_unlisted_since) {
    std::vector<upstream_change> changes;
    if (listing.revision < directory.revision) {
        return changes;
    }
    directory.revision = listing.revision;
    std::set<std::string_view> present;
    for (const auto& report : listing.reports) {
        present.insert(report.id);
        apply_report(directory, report, now, changes);
    }
    for (auto& [id, known] : directory.by_id) {
        if (!present.contains(id)) {
            mark_unlisted(known, listing.revision, now, changes);
        }
    }
    remove_expired_upstreams(directory, keep_unlisted_since, changes);
    return changes;
}

std::vector<upstream_change> apply_update(upstream_directory& directory, const upstream_update& update,
                                          mono_time now, mono_time keep_unlisted_since) {
    std::vector<upstream_change> changes;
    directory.revision = std::max(directory.revision, update.revision);
    for (const auto& report : update.reports) {
        apply_report(directory, report, now, changes);
    }
    for (const auto& removed : update.removed) {
        const auto found = directory.by_id.find(removed.id);
        const bool is_newer = found != directory.by_id.end() &&
                              removed.revision > found->second.report.revision &&
                              era_of(removed.revision) >= era_of(directory.revision);
        if (is_newer) {
            mark_unlisted(found->second, removed.revision, now, changes);
        }
    }
    remove_expired_upstreams(directory, keep_unlisted_since, changes);
    return changes;
}

bool end_restore_grace(upstream_directory& directory) noexcept {
    bool found = false;
    for (auto& [id, known] : directory.by_id) {
        found = std::exchange(known.absent_by_restore, false) || found;
    }
    return found;
}

std::size_t count_drains_kept(const upstream_directory& directory) noexcept {
    return static_cast<std::size_t>(
        std::count_if(directory.by_id.begin(), directory.by_id.end(), [](const auto& item) {
            const auto& known = item.second;
            return known.listed && known.report.phase == upstream_phase::draining &&
                   era_of(known.drain_revision) < era_of(known.report.revision);
        }));
}

bool shows_missed_change(const upstream_directory& directory, const upstream_listing& listing) {
    std::set<std::string_view> present;
    for (const auto& report : listing.reports) {
        present.insert(report.id);
        const auto known = directory.by_id.find(report.id);
        const bool is_newer =
            known == directory.by_id.end() || report.revision > known->second.report.revision;
        if (is_newer) {
            return true;
        }
    }
    return std::any_of(directory.by_id.begin(), directory.by_id.end(), [&](const auto& item) {
        const auto& known = item.second;
        return known.listed && !present.contains(item.first) && known.report.revision <= listing.revision;
    });
}

std::uint64_t digest_of(const upstream_directory& directory) noexcept {
    std::uint64_t digest = 0;
    for (const auto& [id, known] : directory.by_id) {
        if (known.listed) {
            digest ^= mix_hashes(hash_text(id), known.report.revision);
        }
    }
    return digest;
}

upstream_index make_upstream_index(const upstream_directory& directory, const domain_names& evacuated_domains,
                                   const cold_rules& rules, mono_time now) {
    upstream_index index;
    index.evacuated_domains = evacuated_domains;
    index.upstreams.reserve(directory.by_id.size());
    for (const auto& [id, known] : directory.by_id) {
        index.upstreams.push_back(known);
    }
    std::stable_sort(index.upstreams.begin(), index.upstreams.end(),
                     [](const known_upstream& left, const known_upstream& right) {
                         return left.report.created_revision < right.report.created_revision;
                     });
    index.replaced_tags = find_replaced_tags(index.upstreams);
    for (std::size_t position = 0; position < index.upstreams.size(); ++position) {
        const auto& known = index.upstreams[position];
        const auto tag = static_cast<std::uint32_t>(tag_of(known.report.delivery_id));
        const bool owns_tag = index.by_tag.emplace(tag, position).second;
        if (!owns_tag || !is_open_for_flows(known, evacuated_domains) || index.replaced_tags.contains(tag)) {
            continue;
        }
        const auto limit = rules.openings_by_service.find(known.report.service);
        if (limit != rules.openings_by_service.end() && now < known.warm_at) {
            auto& cold = index.cold_by_service[known.report.service];
            cold.positions.push_back(position);
            cold.openings_per_director = limit->second;
            index.next_warm_at = std::min(index.next_warm_at, known.warm_at);
        } else {
            auto& ready = index.ready_by_service[known.report.service];
            ready.all.push_back(position);
            ready.by_failure_domain[known.report.failure_domain].push_back(position);
            ready.slots_by_failure_domain[known.report.failure_domain] += known.report.slots;
        }
    }
    index.urgent_ranks = make_urgent_ranks(index);
    return index;
}

bool takes_new_flows(const upstream_index& index, steering_tag tag) noexcept {
    const auto found = index.by_tag.find(static_cast<std::uint32_t>(tag));
    if (found == index.by_tag.end()) {
        return false;
    }
    const auto& known = index.upstreams[found->second];
    const auto cold = index.cold_by_service.find(known.report.service);
    const bool is_cold =
        cold != index.cold_by_service.end() && std::ranges::count(cold->second.positions, found->second) > 0;
    const bool is_replaced = index.replaced_tags.contains(static_cast<std::uint32_t>(tag));
    return is_open_for_flows(known, index.evacuated_domains) && !is_cold && !is_replaced;
}

const known_upstream* find_by_tag(const upstream_index& index, steering_tag tag) noexcept {
    const auto found = index.by_tag.find(static_cast<std::uint32_t>(tag));
    return found == index.by_tag.end() ? nullptr : &index.upstreams[found->second];
}

}  // namespace guavaramp
