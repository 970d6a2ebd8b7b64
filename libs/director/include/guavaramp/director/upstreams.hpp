#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/evacuation.hpp>
#include <guavaramp/director/flow_packet.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace guavaramp {

/// The phase of an upstream according to its entry in the store.
enum class upstream_phase : std::uint8_t {
    ready,     ///< takes new flows
    draining,  ///< keeps its flows and takes no new ones
    unusable   ///< its entry cannot be read, so it gets no new flows
};

/// An upstream's entry in the platform's store.
struct upstream_report {
    std::string id;
    std::uint64_t delivery_id{0};  ///< identifies the destination host in front of each forwarded packet
    std::string service;
    std::uint32_t address{0};  ///< IPv4, host byte order
    std::uint16_t port{0};
    std::string failure_domain;
    std::uint32_t slots{1};
    upstream_phase phase{upstream_phase::ready};
    std::int64_t warmup_left_ms{0};     ///< remaining time for which the host is slow after its start
    std::int64_t started_unix_ms{0};    ///< start time; changes when the host restarts under the same id
    std::uint64_t revision{0};          ///< store revision of this entry
    std::uint64_t created_revision{0};  ///< store revision at which an entry with this id was last created

    friend bool operator==(const upstream_report&, const upstream_report&) = default;
};

/// Returns the tag by which directors forward later packets of a flow to the upstream. It is derived from the
/// delivery id alone, so that every director computes the same tag and a director that has just started needs
/// no table. Never returns `no_tag`. Thread-safe.
[[nodiscard]] steering_tag tag_of(std::uint64_t delivery_id) noexcept;

/// An upstream that is listed, or was listed until recently.
struct known_upstream {
    upstream_report report;
    bool listed{true};
    mono_time unlisted_at{};             ///< time at which `listed` became false
    std::uint64_t unlisted_revision{0};  ///< revision of the removal, or of the first listing without the id
    /// End of the host's cold period: the time at which its entry was received plus its remaining time. The
    /// epoch if the entry states none.
    mono_time warm_at{};
    /// Revision of the entry by which the host drains, or 0. Entries of a later era do not end the drain
    /// while the start time is the same: the backup may be older than the drain.
    std::uint64_t drain_revision{0};
    /// The host was ready until a listing of a later era lacked it. The backup may be older than the host's
    /// entry, so the host takes new flows until `end_restore_grace`.
    bool absent_by_restore{false};
};

/// All upstream entries in the platform's store at one revision.
struct upstream_listing {
    std::uint64_t revision{0};
    std::vector<upstream_report> reports;
};

/// The upstreams that are listed, and those that were listed until recently. Not thread-safe: one thread owns
/// it and publishes `upstream_index` snapshots.
struct upstream_directory {
    std::uint64_t revision{0};
    std::map<std::string, known_upstream, std::less<>> by_id;
};

/// The kind of change of an upstream, for log lines.
enum class upstream_change_kind : std::uint8_t {
    appeared,
    returned,
    restarted,
    phase_changed,
    unlisted,
    forgotten
};

struct upstream_change {
    upstream_change_kind kind;
    std::string id;
    std::string service;
    upstream_phase phase;
    std::uint64_t revision;
};

/// Returns the text form for log lines. Thread-safe.
[[nodiscard]] std::string_view to_string(upstream_change_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(upstream_phase phase) noexcept;

/// An upstream whose entry was removed from the platform's store.
struct removed_upstream {
    std::string id;
    std::uint64_t revision{0};  ///< store revision of the removal

    friend bool operator==(const removed_upstream&, const removed_upstream&) = default;
};

/// The changes of the listing up to `revision`. No id is in both `reports` and `removed`.
struct upstream_update {
    std::uint64_t revision{0};
    std::vector<upstream_report> reports;
    std::vector<removed_upstream> removed;

    friend bool operator==(const upstream_update&, const upstream_update&) = default;
};

/// Applies `listing` to the directory and returns the changes. A listing or entry with an older revision than
/// the known one changes nothing, because reads of the store may return older states. An upstream that is
/// missing in `listing` is kept as unlisted, so that its flows can be told from flows with an unknown tag;
/// upstreams that were unlisted before `keep_unlisted_since` are removed. Entries and listings of an earlier
/// era of the store than that of the directory change nothing. Not thread-safe.
[[nodiscard]] std::vector<upstream_change> apply_listing(upstream_directory& directory,
                                                         const upstream_listing& listing, mono_time now,
                                                         mono_time keep_unlisted_since);

/// Applies `update` to the directory and returns the changes. Entries and removals with an older revision
/// than the known entry change nothing, nor do those of an earlier era than that of the directory. Upstreams
/// that were unlisted before `keep_unlisted_since` are removed. Not thread-safe.
[[nodiscard]] std::vector<upstream_change> apply_update(upstream_directory& directory,
                                                        const upstream_update& update, mono_time now,
                                                        mono_time keep_unlisted_since);

/// Ends the time for which upstreams that a restored store lacks take new flows. Returns whether there were
/// such upstreams. Not thread-safe.
[[nodiscard]] bool end_restore_grace(upstream_directory& directory) noexcept;

/// Returns how many listed upstreams count as draining although their entry says ready, because they drained
/// in an earlier era of the store. Thread-safe for different objects.
[[nodiscard]] std::size_t count_drains_kept(const upstream_directory& directory) noexcept;

/// Returns whether a listing, which may be older than the directory, shows a change that the directory has
/// missed: an entry that is newer or unknown, or the absence of a listed entry whose revision is not above
/// the listing's revision. Not thread-safe.
[[nodiscard]] bool shows_missed_change(const upstream_directory& directory, const upstream_listing& listing);

/// Returns a digest of the ids and revisions of the listed entries, which does not depend on their order. Two
/// directors with the same digest have the same listing. Not thread-safe.
[[nodiscard]] std::uint64_t digest_of(const upstream_directory& directory) noexcept;

/// The upstreams of a service that take new flows, as positions in `upstream_index::upstreams`. Their order
/// is the same at all directors with the same listing.
struct ready_upstreams {
    std::vector<std::size_t> all;
    std::unordered_map<std::string, std::vector<std::size_t>> by_failure_domain;
    std::unordered_map<std::string, std::uint32_t> slots_by_failure_domain;
};

/// The limits of opening packets to cold hosts, see `make_cold_rules`. Empty where there are none.
struct cold_rules {
    /// Opening packets that one director may send to a cold host within a second, by the service's name.
    std::unordered_map<std::string, std::uint32_t> openings_by_service;

    friend bool operator==(const cold_rules&, const cold_rules&) = default;
};

/// The cold upstreams of a limited service, as positions in `upstream_index::upstreams`.
struct cold_upstreams {
    std::vector<std::size_t> positions;
    std::uint32_t openings_per_director{0};
};

/// An immutable snapshot of the directory for the packet path. Any thread may read it.
struct upstream_index {
    std::vector<known_upstream> upstreams;
    std::unordered_map<std::uint32_t, std::size_t> by_tag;  ///< position in `upstreams` of each tag
    std::unordered_map<std::string, ready_upstreams> ready_by_service;
    /// Upstreams that would be in `ready_by_service`, but are cold and of a limited service.
    std::unordered_map<std::string, cold_upstreams> cold_by_service;
    mono_time next_warm_at{mono_time::max()};  ///< end of the first of their cold periods
    domain_names evacuated_domains;
    /// Tags of listed upstreams at whose address a later upstream is listed. They have ended: an address is
    /// used again only after that, and their entries remain for some seconds if they ended without notice.
    std::unordered_set<std::uint32_t> replaced_tags;
    std::vector<double> urgent_ranks;  ///< by position in `upstreams`, see `make_urgent_ranks`
};

/// Returns the index of `directory`. If two upstreams have the same tag, the tag belongs to the one that was
/// created first, and the other one takes no new flows, because the flows of the two could not be told apart.
/// Upstreams of `evacuated_domains` and replaced ones take no new flows either. Upstreams that are cold at
/// `now` and whose service `rules` limits are indexed apart; the index must be made again at `next_warm_at`.
/// No parameter has a default: an index that was made without the evacuated domains after a restore of the
/// store would have sent new flows there. Thread-safe.
[[nodiscard]] upstream_index make_upstream_index(const upstream_directory& directory,
                                                 const domain_names& evacuated_domains,
                                                 const cold_rules& rules, mono_time now);

/// Returns whether the upstream that owns `tag` takes new flows: it is listed, ready, not replaced, not in an
/// evacuated failure domain, and not a cold one of a limited service. Thread-safe.
[[nodiscard]] bool takes_new_flows(const upstream_index& index, steering_tag tag) noexcept;

/// Returns the upstream that owns `tag`, or null if there is none. Thread-safe.
[[nodiscard]] const known_upstream* find_by_tag(const upstream_index& index, steering_tag tag) noexcept;

}  // namespace guavaramp
