#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/director/domain_membership.hpp>
#include <guavaramp/director/evacuation.hpp>
#include <guavaramp/director/listing_delta.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// Messages with which the directors of one failure domain tell each other what the platform's store
/// contains.

/// Readers that one message may name: those of a failure domain, and those that take over from them.
inline constexpr std::size_t max_named_readers = 4;
/// Directors to which one director may forward a message.
inline constexpr std::size_t max_forward_receivers = 12;

/// The version of the listing that a director has.
struct listing_state {
    std::uint64_t revision{0};  ///< the director knows every change up to this revision
    std::uint64_t digest{0};    ///< digest of the listed entries, see `digest_of`

    friend bool operator==(const listing_state&, const listing_state&) = default;
};

/// The state that a director reports of itself with each message. Only a reader's report is relied on.
struct reader_report {
    listing_state listing;
    std::uint64_t configuration_revision{0};  ///< of the configuration in force at the sender
    /// Time since the store last showed that all that others take from a reader is complete: the listing, the
    /// configuration and the evacuations. It is the age of the oldest of these verifications.
    std::uint32_t verified_age_ms{0};
    std::uint32_t store_available_age_ms{
        0};                  ///< how long the store has answered the sender without a failure
    bool store_lost{false};  ///< the sender is a reader, and the store does not answer it
    /// Sent only if its revision is above 0.
    evacuation_report evacuations;

    friend bool operator==(const reader_report&, const reader_report&) = default;
};

struct relay_message {
    reader_report report;
    std::optional<listing_delta> delta;
    /// Makes the sender a member for the receivers.
    std::optional<domain_member> introduction;
    /// Update addresses of readers that the sender hears. From them a director that knows one reader learns
    /// of the others.
    std::vector<endpoint> readers;
    /// Update addresses of directors to which the receiver forwards `delta`.
    std::vector<endpoint> forward_to;
    /// Revision after which the sender asks for all changes of the listing.
    std::optional<std::uint64_t> changes_wanted_after;
    /// The incarnation that the receiver had earlier, if its messages now carry a lower one because its clock
    /// was set back; 0 if they do not.
    std::uint64_t expected_incarnation{0};

    friend bool operator==(const relay_message&, const relay_message&) = default;
};

/// Returns the CBOR form of `message`, without authentication. Thread-safe.
[[nodiscard]] std::vector<std::uint8_t> encode_relay_message(const relay_message& message);

/// Returns the message whose CBOR form is `bytes`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<relay_message> decode_relay_message(std::span<const std::byte> bytes);

/// Returns the report of a director that is no reader. Thread-safe.
[[nodiscard]] reader_report make_non_reader_report() noexcept;

/// Returns the report of a reader that the store does not answer. Thread-safe.
[[nodiscard]] reader_report make_store_lost_report() noexcept;

}  // namespace guavaramp
