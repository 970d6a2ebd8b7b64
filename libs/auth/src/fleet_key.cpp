#include <guavaramp/auth/fleet_key.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace guavaramp {
namespace {

authentication_tag tag_with(const std::string& key, std::initializer_list<std::span<const std::byte>> parts) {
    std::vector<std::byte> message;
    for (const auto& part : parts) {
        message.insert(message.end(), part.begin(), part.end());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(), &size);
    authentication_tag tag{};
    std::transform(digest.begin(), digest.begin() + authentication_tag_size, tag.begin(),
                   [](unsigned char value) { return static_cast<std::byte>(value); });
    return tag;
}

}  // namespace

authentication_tag compute_tag(const fleet_keys& keys,
                               std::initializer_list<std::span<const std::byte>> parts) {
    return tag_with(keys.keys.front(), parts);
}

bool verify_tag(const fleet_keys& keys, std::span<const std::byte> tag,
                std::initializer_list<std::span<const std::byte>> parts) {
    if (tag.size() != authentication_tag_size) {
        return false;
    }
    return std::any_of(keys.keys.begin(), keys.keys.end(), [&](const std::string& key) {
        const auto expected = tag_with(key, parts);
        return CRYPTO_memcmp(expected.data(), tag.data(), tag.size()) == 0;
    });
}

bool equal_secrets(std::string_view given, std::string_view expected) {
    // Hashing first makes the comparison independent of where the texts differ and of the expected length.
    const auto digest = [](std::string_view text) {
        std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
        unsigned int size = 0;
        EVP_Digest(text.data(), text.size(), out.data(), &size, EVP_sha256(), nullptr);
        return out;
    };
    const auto left = digest(given);
    const auto right = digest(expected);
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

result<void> replay_guard::accept(const ip_address& sender, std::uint64_t incarnation,
                                  std::uint64_t sequence) {
    const auto replayed = [] {
        return fail(error_kind::replayed, "the message was seen before or is too old");
    };
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        make_room();
        found = senders_.emplace(sender, sender_window{.incarnation = incarnation}).first;
    }
    auto& window = found->second;
    if (incarnation < window.incarnation) {
        return replayed();
    }
    if (incarnation > window.incarnation) {
        window = {.incarnation = incarnation};
    }
    if (sequence + window_bits <= window.highest) {
        return replayed();
    }
    if (sequence > window.highest) {
        const std::uint64_t cleared = std::min<std::uint64_t>(sequence - window.highest, window_bits);
        for (std::uint64_t offset = 0; offset < cleared; ++offset) {
            const std::uint64_t bit = (sequence - offset) % window_bits;
            window.seen[bit / 64] &= ~(1ULL << (bit % 64));
        }
        window.highest = sequence;
    }
    const std::uint64_t bit = sequence % window_bits;
    const std::uint64_t mask = 1ULL << (bit % 64);
    if ((window.seen[bit / 64] & mask) != 0) {
        return replayed();
    }
    window.seen[bit / 64] |= mask;
    window.heard = ++accepted_;
    return {};
}

std::uint64_t replay_guard::incarnation_of(const ip_address& sender) const {
    const auto found = senders_.find(sender);
    return found == senders_.end() ? 0 : found->second.incarnation;
}

void replay_guard::make_room() {
    if (senders_.size() < max_senders_) {
        return;
    }
    const auto oldest = std::min_element(
        senders_.begin(), senders_.end(),
        [](const auto& left, const auto& right) { return left.second.heard < right.second.heard; });
    senders_.erase(oldest);
}

}  // namespace guavaramp
