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

/// The keys that entry VMs share. Messages are signed with the first one; all are accepted, so that a key can
/// be replaced in two steps without an interruption: append the new key everywhere, then move it to the
/// front.
struct fleet_keys {
    std::vector<std::string> keys;
};

inline constexpr std::size_t authentication_tag_size = 16;
using authentication_tag = std::array<std::byte, authentication_tag_size>;

/// HMAC-SHA256 (RFC 2104) of the concatenated parts, truncated to its first 128 bits. Precondition:
/// `keys.keys` is not empty. Thread-safe.
[[nodiscard]] authentication_tag compute_tag(const fleet_keys& keys,
                                             std::initializer_list<std::span<const std::byte>> parts);

/// Whether `tag` was computed over `parts` with any of the keys. Compares in constant time. Thread-safe.
[[nodiscard]] bool verify_tag(const fleet_keys& keys, std::span<const std::byte> tag,
                              std::initializer_list<std::span<const std::byte>> parts);

/// Compares two secrets in time that depends only on the length of `given`. Thread-safe.
[[nodiscard]] bool equal_secrets(std::string_view given, std::string_view expected);

/// Accepts each (sender, incarnation, sequence) once. An incarnation is the sender's start time in Unix
/// milliseconds; a lower one than the last is refused, so that messages recorded before a restart cannot be
/// replayed. Reordering within the last 1024 sequence numbers is accepted. Not thread-safe.
class replay_guard {
public:
    /// `max_senders` bounds the memory (about 200 bytes a sender); when full, the sender heard longest ago is
    /// dropped.
    explicit replay_guard(std::size_t max_senders = 4096) : max_senders_(max_senders) {}

    /// Records a message whose tag was verified. Errors: `replayed`.
    [[nodiscard]] result<void> accept(const ip_address& sender, std::uint64_t incarnation,
                                      std::uint64_t sequence);

    /// The latest incarnation of `sender`; 0 when it is not remembered.
    [[nodiscard]] std::uint64_t incarnation_of(const ip_address& sender) const;

private:
    static constexpr std::size_t window_bits = 1024;

    struct sender_window {
        std::uint64_t incarnation{0};
        std::uint64_t highest{0};
        std::array<std::uint64_t, window_bits / 64> seen{};
        std::uint64_t heard{0};
    };

    void make_room();

    std::size_t max_senders_;
    std::uint64_t accepted_{0};
    std::map<ip_address, sender_window> senders_;
};

}  // namespace guavaramp
