#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/director/listing_delta.hpp>
#include <guavaramp/director/roster.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// What directors of one failure domain tell each other about the platform's store.

/// Readers that a message names: those of a failure domain, and those that take over from them.
inline constexpr std::size_t most_named_readers = 4;
/// Directors that one director passes a message on to.
inline constexpr std::size_t most_passed_on = 12;

/// What a director knows of the listing.
struct listing_state {
    std::uint64_t revision{0};  ///< it knows every change up to here
    std::uint64_t digest{0};    ///< of the listed entries, see `digest_of`

    friend bool operator==(const listing_state&, const listing_state&) = default;
};

/// What a reader says of itself with each message.
struct reader_report {
    listing_state listing;
    std::uint64_t configuration_revision{0};  ///< of the configuration in force there
    std::uint32_t verified_age_ms{0};         ///< since the store last showed that its listing is complete
    std::uint32_t steady_age_ms{0};           ///< since when the store has answered it without a failure
    bool store_lost{false};                   ///< it is a reader, and the store does not answer it

    friend bool operator==(const reader_report&, const reader_report&) = default;
};

struct relay_message {
    reader_report report;
    std::optional<listing_delta> delta;
    /// Makes the sender a member for the receivers.
    std::optional<roster_member> introduction;
    /// Sockets of readers that the sender hears. With them a director that knows one reader finds the others.
    std::vector<endpoint> readers;
    /// The receiver passes the changes on to these.
    std::vector<endpoint> pass_to;
    /// The sender asks for all changes of the listing after this revision.
    std::optional<std::uint64_t> wants_after;
    /// The receiver's messages carry an incarnation below this one, which it had earlier: its clock was set
    /// back. 0: they do not.
    std::uint64_t expected_incarnation{0};

    friend bool operator==(const relay_message&, const relay_message&) = default;
};

/// CBOR form, without authentication. Thread-safe.
[[nodiscard]] std::vector<std::uint8_t> encode_relay_message(const relay_message& message);

/// Inverse of `encode_relay_message`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<relay_message> decode_relay_message(std::span<const std::byte> bytes);

/// The report of a director that is no reader. Thread-safe.
[[nodiscard]] reader_report make_greeting() noexcept;

/// What a reader says that the store does not answer. Thread-safe.
[[nodiscard]] reader_report make_lost_report() noexcept;

}  // namespace guavaramp
