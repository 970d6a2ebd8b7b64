#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/director/relay_message.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// A few directors of each failure domain, its readers, watch the platform's store. The others take the
/// changes from the readers, so that the calls to the store do not grow with the fleet. Every director can
/// become a reader at any time, and does so by itself when it hears too few readers; there is no leader
/// election.

/// Directors of a failure domain that read the store: two, so that the loss of one leaves no gap.
inline constexpr std::ptrdiff_t readers_per_failure_domain = 2;
/// Time after which a reader repeats a report that may be the first with a change or a verification, in case
/// it was lost.
inline constexpr auto report_repeat_wait = std::chrono::milliseconds{350};
/// Longest time between two reports of a reader. While the store answers, the report of the next verification
/// comes sooner, so that a reader reports twice in `verification_period`. With 133 directors in a
/// failure domain, the design size, 100 bytes each take 19 KB/s at a reader, the budget for control traffic.
inline constexpr auto report_period = std::chrono::milliseconds{1100};
/// How long a reader that is silent is relied on: one of its reports may be lost.
inline constexpr auto report_validity = std::chrono::milliseconds{1500};
/// How long others rely on a reader after the store has shown it that its listing and its configuration are
/// complete. The reader may lack a change that the store confirms after that, and the change must be in force
/// at all directors within 3 s. The remaining 1 s is for the wait for an own read, 0.7 s at most, and for
/// that read. Readers verify both in each `verification_period`, and one report may be lost.
inline constexpr auto verification_validity = std::chrono::milliseconds{2000};
/// Time between two directors' attempts to take over from a reader: the transmission of a report inside a
/// failure domain and the receiver's wake-up, on a slow machine.
inline constexpr auto takeover_interval = std::chrono::milliseconds{50};
/// Takeover intervals that a director waits at most. While it hears one reader, a director that ranks after
/// that many others follows at once, unless the store does not answer those that have tried. Without any
/// reader, it reads the store for itself and takes over only if the store answers.
inline constexpr std::ptrdiff_t max_takeover_intervals = 8;
/// While one reader is left, and once `max_takeover_intervals` directors have tried in vain to become the
/// second one, each further director waits this much longer. The place is not urgent, and otherwise the whole
/// failure domain would add to the load of a store that rejects most of its calls.
inline constexpr auto slow_takeover_interval = std::chrono::milliseconds{250};
/// Time over which the first own reads of a failure domain's directors are spread after the last takeover.
/// The whole wait must not grow with the failure domain: the store may serve only the director that ranks
/// last.
inline constexpr auto own_read_spread = std::chrono::milliseconds{300};
/// Wait before a director asks a reader for changes that it lacks: the parts of one change arrive together.
inline constexpr auto change_request_wait = std::chrono::milliseconds{30};
/// Longest time that a director waits for readers, when the store names none, before it becomes one itself.
/// Of 133 directors, the failure domain at the design size, 5 do so within the 0.5 s after the first one, in
/// which cached answers may not show the first one's entry.
inline constexpr auto max_claim_delay = std::chrono::milliseconds{3000};
/// Time, added to the claim delay, for a read of the store just before the end of that delay and for the
/// readers that it names to answer.
inline constexpr auto claim_margin = std::chrono::milliseconds{250};
/// How long a director that no reader's entry names and that hears one reader leaves the second reader's
/// place to others: it does not know yet which directors rank before it.
inline constexpr auto unlisted_takeover_wait = std::chrono::milliseconds{5000};
/// Number of directors up to which a reader sends changes to each of them itself. In a larger failure domain
/// it sends them to some, and each of these forwards them: a release of hundreds of hosts would otherwise
/// fill the reader's link for half a second.
inline constexpr std::size_t max_direct_receivers = 12;

/// A director that gets changes from a reader, and the directors to which it forwards them.
struct fanout_group {
    endpoint forwarder;
    std::vector<endpoint> members;

    friend bool operator==(const fanout_group&, const fanout_group&) = default;
};

/// Returns the groups through which `reader` sends changes to `receivers`: each receiver in a group of its
/// own while there are at most `max_direct_receivers`, else about as many groups as each has members. Readers
/// with different sockets form different groups, so that a forwarder that is gone is not the forwarder of the
/// same members for both readers. Thread-safe.
[[nodiscard]] std::vector<fanout_group> fanout_groups(std::span<const endpoint> receivers,
                                                      const endpoint& reader);

/// A director that has reported, and its latest report.
struct known_reader {
    reader_report report;
    mono_time heard_at{};
    mono_time verified_at{};  ///< time at which all that the reader reports was last known to be complete
    /// Deadline until which the reader is relied on: `report_validity` after its report or
    /// `verification_validity` after its verification, whichever ends first. The two do not add up.
    mono_time relied_on_until{};
};

/// The directors that have reported lately, by their update addresses. Not thread-safe.
struct update_relay {
    std::map<endpoint, known_reader> readers;
};

/// Records the report of another director, and removes directors that have not reported for long. Not
/// thread-safe.
void record_report(update_relay& relay, const endpoint& sender, const reader_report& report, mono_time now);

/// When a reader reports.
struct report_schedule {
    mono_time next_report_at{};
    bool repetition_pending{false};  ///< the next report repeats one, or carries what is newer by then
    /// The verification that the last report told; the epoch if it told none.
    mono_time reported_verification_at{};
};

/// Records a report with a change or a verification; it is repeated after `report_repeat_wait`. `verified_at`
/// is the verification that it tells. Not thread-safe.
void record_sent_report(report_schedule& schedule, mono_time verified_at, mono_time now) noexcept;

/// Returns whether the verification `verified_at` is reported now. If not, a later report tells it soon
/// enough: the pending repetition, or that of the other dataset's verification. Not thread-safe.
[[nodiscard]] bool is_verification_report_due(const report_schedule& schedule, mono_time verified_at,
                                              mono_time now) noexcept;

/// Whether a director is a reader, and when it may become one.
struct reader_role {
    bool is_reader{false};
    /// Time since which the director hears fewer reliable readers that rank before it than a failure domain
    /// needs; `mono_time::max()` if it hears enough.
    mono_time readers_missing_since{mono_time::max()};
    /// Deadline until which the director only listens, because it may not have heard the readers yet.
    mono_time listening_until{mono_time::max()};
    /// Deadline until which the director does not become a reader while it hears one.
    mono_time one_reader_suffices_until{};
    /// Time since which the director hears no reliable reader at all; `mono_time::max()` if it hears one.
    mono_time uncovered_since{mono_time::max()};
    /// When the director reads the store for itself, although it is no reader, because it hears no reliable
    /// one; `mono_time::max()` if it hears one.
    mono_time own_read_at{mono_time::max()};
    /// The store has answered such a read, so the director can be a reader.
    bool store_answers_own_reads{false};
};

/// Returns the time after which a director claims the place of a reader when the store names none: the cube
/// root of an even distribution, scaled to `max_claim_delay`, so that of many directors a few come first and
/// the others see them. Thread-safe.
[[nodiscard]] std::chrono::milliseconds claim_delay(const endpoint& self) noexcept;

/// Returns the role of a director that has just started. Thread-safe.
[[nodiscard]] reader_role make_reader_role(const endpoint& self, mono_time now) noexcept;

/// Records that the store has named directors of the failure domain: `others` are their update addresses, and
/// `listed` tells whether readers' entries name this director. If they do, and fewer than
/// `readers_per_failure_domain` of the others rank before it, it need not listen any longer; otherwise it
/// listens until the next report must have arrived. Not thread-safe.
void record_membership(reader_role& role, const endpoint& self, std::span<const endpoint> others, bool listed,
                       mono_time now);

/// A request, to be sent to a reader, for changes that this director lacks.
struct change_request {
    endpoint reader;
    mono_time send_at{mono_time::max()};  ///< `mono_time::max()` if there is nothing to ask for
};

/// Schedules or withdraws the request, now that `sender` has reported while this director's listing was
/// `own`. Not thread-safe.
void update_change_request(change_request& request, const endpoint& sender, const reader_report& report,
                           const listing_state& own, mono_time now);

/// Returns the update sockets of the readers that are relied on now. Not thread-safe.
[[nodiscard]] std::vector<endpoint> reliable_readers(const update_relay& relay, mono_time now);

/// Records that the store has answered a read that this director made for itself, although it is no reader.
/// Does nothing before `own_read_at`: other reads do not show that a reader is missing. Not thread-safe.
void record_own_read(reader_role& role, mono_time now) noexcept;

/// Decides whether this director is a reader now. Directors are ranked. A reader gives way when it hears
/// enough reliable readers that rank before it. When readers are missing, the directors that rank next take
/// over one after the other, so that not all do. The store may serve none of these. A director that hears no
/// reader therefore reads the store for itself at `own_read_at`, whatever its rank, and takes over if the
/// store answers. Returns when to decide again if no message arrives. Not thread-safe.
[[nodiscard]] mono_time update_reader_role(reader_role& role, const update_relay& relay, const endpoint& self,
                                           std::span<const endpoint> others, mono_time now);

/// What the reports of all reliable readers together show.
struct relay_coverage {
    mono_time until{};                        ///< deadline until which a reader is relied on
    std::uint64_t confirmed_revision{0};      ///< own listing is complete up to it; 0 if not confirmed
    mono_time listing_verified_at{};          ///< a reader found a listing equal to the own one complete then
    bool listing_differs{false};              ///< a reader knows a change that this director lacks
    std::uint64_t configuration_revision{0};  ///< newest one that a reader has in force
    mono_time store_available_since{};        ///< the store has answered all reliable readers since then
    std::uint64_t newest_revision{0};         ///< of the listings that the readers have reported

    friend bool operator==(const relay_coverage&, const relay_coverage&) = default;
};

/// Returns the coverage of a director with the listing `own` by reliable readers; `std::nullopt` if there is
/// no reliable reader. The listing of a reader that has an earlier era of the store than another one confirms
/// nothing. Not thread-safe.
[[nodiscard]] std::optional<relay_coverage> coverage_at(const update_relay& relay, const listing_state& own,
                                                        mono_time now);

}  // namespace guavaramp
