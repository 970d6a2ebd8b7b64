#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/flow_packet.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// What an upstream says of itself.
enum class upstream_phase : std::uint8_t {
    ready,     ///< takes new flows
    draining,  ///< keeps its flows and takes no new ones
    unusable   ///< its entry cannot be read; nothing new is sent there
};

/// An upstream's entry in the platform's list.
struct upstream_report {
    std::string id;
    std::uint64_t delivery_id{0};  ///< names the intended host in front of each forwarded packet
    std::string service;
    std::uint32_t address{0};  ///< IPv4, host byte order
    std::uint16_t port{0};
    std::string failure_domain;
    std::uint32_t slots{1};
    upstream_phase phase{upstream_phase::ready};
    std::int64_t warmup_left_ms{0};     ///< how much longer the host is slow after its start
    std::int64_t started_unix_ms{0};    ///< changes when the host starts again under the same id
    std::uint64_t revision{0};          ///< of this entry in the store
    std::uint64_t created_revision{0};  ///< of the first entry under this id since it was last absent

    friend bool operator==(const upstream_report&, const upstream_report&) = default;
};

/// The tag that leads later packets of a flow back to the upstream, derived from its delivery id alone, so
/// that every director computes the same one and a director that has just started needs no table. Never
/// `no_tag`. Thread-safe.
[[nodiscard]] steering_tag tag_of(std::uint64_t delivery_id) noexcept;

/// An upstream that was listed at some time.
struct known_upstream {
    upstream_report report;
    bool listed{true};
    mono_time unlisted_at{};             ///< when `listed` became false
    std::uint64_t unlisted_revision{0};  ///< of the removal, or of the first listing without it
};

/// A complete listing of the platform's entries at one revision.
struct upstream_listing {
    std::uint64_t revision{0};
    std::vector<upstream_report> reports;
};

/// All upstreams that are listed, and those that were until recently. Not thread-safe: one thread owns it and
/// publishes `upstream_index` values.
struct upstream_directory {
    std::uint64_t revision{0};
    std::map<std::string, known_upstream, std::less<>> by_id;
};

/// Kinds of change that a listing makes, for log lines.
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

/// Text forms for log lines. Thread-safe.
[[nodiscard]] std::string_view to_string(upstream_change_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(upstream_phase phase) noexcept;

/// An entry that was removed from the platform's list.
struct removed_upstream {
    std::string id;
    std::uint64_t revision{0};  ///< of the removal

    friend bool operator==(const removed_upstream&, const removed_upstream&) = default;
};

/// What has changed since a listing. No id is in both lists.
struct upstream_news {
    std::uint64_t revision{0};
    std::vector<upstream_report> reports;
    std::vector<removed_upstream> removed;

    friend bool operator==(const upstream_news&, const upstream_news&) = default;
};

/// Brings the directory up to `listing`. A listing or entry older than what is known changes nothing, because
/// reads of the store may go back in time. An upstream that is missing stays known as unlisted until
/// `keep_unlisted_since`, so that its flows can still be told from flows of nobody. Not thread-safe.
[[nodiscard]] std::vector<upstream_change> apply_listing(upstream_directory& directory,
                                                         const upstream_listing& listing, mono_time now,
                                                         mono_time keep_unlisted_since);

/// Applies what has changed. Entries older than what is known change nothing. Not thread-safe.
[[nodiscard]] std::vector<upstream_change> apply_news(upstream_directory& directory,
                                                      const upstream_news& news, mono_time now,
                                                      mono_time keep_unlisted_since);

/// Whether a listing, maybe an older one, shows a change that the directory has not seen: an entry that is
/// newer or unknown, or the absence of one that existed at the listing's revision. Not thread-safe.
[[nodiscard]] bool shows_missed_change(const upstream_directory& directory, const upstream_listing& listing);

/// A hash of the listed entries and their revisions, whatever their order. Two directors with the same digest
/// have the same listing. Not thread-safe.
[[nodiscard]] std::uint64_t digest_of(const upstream_directory& directory) noexcept;

/// The upstreams of a service that take new flows, as positions in `upstream_index::upstreams`, in an order
/// that is the same at all directors with the same listing.
struct ready_upstreams {
    std::vector<std::size_t> all;
    std::unordered_map<std::string, std::vector<std::size_t>> by_failure_domain;
};

/// An immutable copy of the directory for the packet path. Any thread may read it.
struct upstream_index {
    std::vector<known_upstream> upstreams;
    std::unordered_map<std::uint32_t, std::size_t> by_tag;  ///< tag to position in `upstreams`
    std::unordered_map<std::string, ready_upstreams> ready_by_service;
};

/// Builds the index. When two upstreams have the same tag, it belongs to the one that was created first, and
/// the other takes no new flows: its flows could not be told apart. Thread-safe.
[[nodiscard]] upstream_index make_upstream_index(const upstream_directory& directory);

/// The upstream that `tag` leads to, or null. Thread-safe.
[[nodiscard]] const known_upstream* find_by_tag(const upstream_index& index, steering_tag tag) noexcept;

}  // namespace guavaramp
