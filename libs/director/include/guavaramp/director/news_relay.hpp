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

/// A few directors of each failure domain watch the platform's store; they are its readers. The others take
/// what has changed from them, so that calls to the store do not grow with the fleet. Every director can
/// become a reader at any time and does so by itself when it hears too few; nothing is elected.

/// Directors of a failure domain that read the store: two, so that the loss of one leaves no gap.
inline constexpr std::ptrdiff_t readers_per_failure_domain = 2;
/// Period of a reader's reports while nothing changes. With 133 directors in a failure domain, the design
/// size, 100 bytes each take 19 KB/s at a reader, the budget for control.
inline constexpr auto report_period = std::chrono::milliseconds{700};
/// How long a report stands for its sender: two may be lost. Half of the 3 s in which a drain must be in
/// force; the other half is for the director's own reading.
inline constexpr auto report_validity = std::chrono::milliseconds{1500};
/// A reader is not relied on when its last proof of a complete listing is older: it checks each 1.5 s.
inline constexpr auto longest_verified_age = std::chrono::milliseconds{2000};
/// Time between the directors that may take over from a reader: a report's way inside a failure domain and
/// the receiver's wake-up, on a slow machine.
inline constexpr auto takeover_step = std::chrono::milliseconds{50};
/// Directors that are waited for in turn; all others follow at once, unless the store does not answer those
/// that have tried. With `report_validity` a director is without news for 1.9 s at most while it does.
inline constexpr std::ptrdiff_t most_takeover_steps = 8;
/// Once this many directors try in vain, the store is probably away for all, and each further one waits this
/// much longer. The whole failure domain would otherwise press a store that is down.
inline constexpr auto slow_takeover_step = std::chrono::milliseconds{250};
/// Wait before a director asks a reader for what it lacks: the parts of one change come together.
inline constexpr auto ask_wait = std::chrono::milliseconds{30};
/// Longest time that a director waits for readers when the store names none, before it takes the place
/// itself. Of 133 directors, the failure domain at the design size, 5 do so within the 0.5 s after the first
/// one in which cached answers may not show its entry.
inline constexpr auto longest_claim_delay = std::chrono::milliseconds{3000};
/// Time for a reading of the store just before that, and for the readers it names to answer.
inline constexpr auto claim_slack = std::chrono::milliseconds{250};
/// How long a director that no reader's entry names leaves the second reader's place to others, while it
/// hears one reader: it does not know yet who ranks before it.
inline constexpr auto unlisted_patience = std::chrono::milliseconds{5000};
/// Directors to which a reader sends changes itself while there are no more. Of a larger failure domain it
/// sends them to some, and each of these passes them on: a release of hundreds of hosts would otherwise fill
/// the reader's link for half a second.
inline constexpr std::size_t most_direct_receivers = 12;

/// A director that gets changes from a reader, and those it passes them on to.
struct spread_group {
    endpoint head;
    std::vector<endpoint> others;

    friend bool operator==(const spread_group&, const spread_group&) = default;
};

/// How a reader spreads changes to `receivers`: about as many groups as each has members. The groups of
/// readers with different sockets differ, so that a director that is gone as the head of one is not that of
/// the other for the same members. Thread-safe.
[[nodiscard]] std::vector<spread_group> spread_groups(std::span<const endpoint> receivers,
                                                      const endpoint& reader);

/// The readers that this director has heard, by the socket of their news. Not thread-safe.
struct known_reader {
    reader_report report;
    mono_time heard_at{};
};
struct news_relay {
    std::map<endpoint, known_reader> readers;
};

/// Remembers a report of another director, and forgets readers that have long been silent. Not thread-safe.
void note_report(news_relay& relay, const endpoint& sender, const reader_report& report, mono_time now);

/// Whether a director is a reader.
struct reader_role {
    bool reads{false};
    /// Since when it hears fewer reliable readers before it than a failure domain needs; the maximum: enough.
    mono_time short_since{mono_time::max()};
    /// Deadline until which it only listens, because readers may not have been heard yet.
    mono_time listens_until{mono_time::max()};
    /// Deadline until which one reader that it hears is enough.
    mono_time one_reader_does_until{};
};

/// After which time a director claims the place of a reader when the store names none: the cube root of an
/// even spread over `longest_claim_delay`, so that of many directors a few come first and the others see
/// them. Thread-safe.
[[nodiscard]] std::chrono::milliseconds claim_delay(const endpoint& self) noexcept;

/// The role of a director that has just started. Thread-safe.
[[nodiscard]] reader_role make_role(const endpoint& self, mono_time now) noexcept;

/// The store has named directors of the failure domain: `others` are the sockets of their news, and `listed`
/// tells whether this director is among those that readers name. One that is, and ranks before most of them,
/// need not listen any longer. Not thread-safe.
void note_roster(reader_role& role, const endpoint& self, std::span<const endpoint> others, bool listed,
                 mono_time now);

/// A question to a reader that knows changes which are missing here.
struct news_question {
    endpoint reader;
    mono_time ask_at{mono_time::max()};  ///< the maximum: nothing to ask
};

/// `sender` has reported while the own listing was `own`. Not thread-safe.
void note_difference(news_question& question, const endpoint& sender, const reader_report& report,
                     const listing_state& own, mono_time now);

/// The readers that are relied on now, by their sockets. Not thread-safe.
[[nodiscard]] std::vector<endpoint> heard_readers(const news_relay& relay, mono_time now);

/// Decides whether this director is a reader now. Directors are ranked; a reader that hears enough reliable
/// ones before it gives way, and when readers are missing those that rank next take over one after the
/// other, so that not all do. Returns when to decide again if no message comes. Not thread-safe.
[[nodiscard]] mono_time update_role(reader_role& role, const news_relay& relay, const endpoint& self,
                                    std::span<const endpoint> others, mono_time now);

/// What other directors' reports vouch for together.
struct relay_coverage {
    mono_time until{};                        ///< deadline
    std::uint64_t confirmed_revision{0};      ///< the own listing is complete up to here; 0: not confirmed
    bool listing_differs{false};              ///< a reader knows a change that is missing here
    std::uint64_t configuration_revision{0};  ///< newest one that a reader has
    mono_time steady_since{};                 ///< the store has answered all reliable readers since then

    friend bool operator==(const relay_coverage&, const relay_coverage&) = default;
};

/// The coverage of a director with the listing `own` by reliable readers; nothing when there is none. Not
/// thread-safe.
[[nodiscard]] std::optional<relay_coverage> coverage_at(const news_relay& relay, const listing_state& own,
                                                        mono_time now);

}  // namespace guavaramp
