#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavaramp {

/// The secret keys that the VMs of a fleet share to authenticate their messages. Messages are signed with the
/// first key; signatures by any of the keys are accepted, so that a key can be replaced without an
/// interruption in two steps: append the new key on all VMs, then move it to the front.
struct fleet_keys {
    std::vector<std::string> keys;
};

/// Size of an authentication tag in bytes.
inline constexpr std::size_t authentication_tag_size = 16;

/// A message authentication code. It is unrelated to the tag in a flow's packets.
using authentication_tag = std::array<std::byte, authentication_tag_size>;

/// Returns the HMAC-SHA256 (RFC 2104) of the concatenated `parts`, truncated to its first 128 bits.
/// Precondition: `keys.keys` is not empty. Thread-safe.
[[nodiscard]] authentication_tag compute_authentication_tag(
    const fleet_keys& keys, std::initializer_list<std::span<const std::byte>> parts);

/// Returns whether `tag` was computed over `parts` with any of the keys. Compares in constant time.
/// Thread-safe.
[[nodiscard]] bool verify_authentication_tag(const fleet_keys& keys, std::span<const std::byte> tag,
                                             std::initializer_list<std::span<const std::byte>> parts);

/// Returns whether two secrets are equal. The time it takes depends only on the length of `given`.
/// Thread-safe.
[[nodiscard]] bool secrets_equal(std::string_view given, std::string_view expected);

/// Rejects replayed messages: accepts each combination of sender, incarnation and sequence number once. An
/// incarnation is the sender's start time in Unix milliseconds, or a higher number if other VMs have already
/// seen a later incarnation of the sender. A message with an incarnation lower than the
/// sender's latest is rejected, so that messages recorded before a restart of the sender cannot be replayed.
/// Messages that arrive out of order are accepted within the last 1024 sequence numbers. Not thread-safe.
class replay_guard {
public:
    /// Creates a guard that remembers at most `max_senders` senders, which bounds its memory (about 200 bytes
    /// per sender). If the guard is full, a new sender replaces the one whose last accepted message is the
    /// oldest.
    explicit replay_guard(std::size_t max_senders = 4096) : max_senders_(max_senders) {}

    /// Records a message whose authentication tag has been verified. Errors: `replayed` (the message was
    /// recorded before or is too old).
    [[nodiscard]] result<void> accept(const ip_address& sender, std::uint64_t incarnation,
                                      std::uint64_t sequence);

    /// Returns the latest incarnation of `sender`, or 0 if the guard does not remember the sender.
    [[nodiscard]] std::uint64_t latest_incarnation(const ip_address& sender) const;

private:
    static constexpr std::size_t window_bits = 1024;

    /// The sequence numbers that were accepted from one sender.
    struct sender_window {
        std::uint64_t incarnation{0};
        std::uint64_t highest_sequence{0};
        /// Bit N is set if the sequence number of the window with remainder N modulo `window_bits` was
        /// accepted.
        std::array<std::uint64_t, window_bits / 64> accepted_bits{};
        std::uint64_t last_accepted{0};  ///< value of `accepted_count_` at the last accepted message
    };

    /// Forgets the sender whose last accepted message is the oldest if `max_senders_` senders are remembered.
    void evict_sender_if_full();

    std::size_t max_senders_;
    std::uint64_t accepted_count_{0};  ///< messages accepted from all senders
    std::map<ip_address, sender_window> senders_;
};

}  // namespace guavaramp
