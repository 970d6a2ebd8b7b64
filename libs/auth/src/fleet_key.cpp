#include <guavaramp/auth/fleet_key.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace guavaramp {
namespace {

authentication_tag compute_tag_with_key(const std::string& key,
                                        std::initializer_list<std::span<const std::byte>> parts) {
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

authentication_tag compute_authentication_tag(const fleet_keys& keys,
                                              std::initializer_list<std::span<const std::byte>> parts) {
    return compute_tag_with_key(keys.keys.front(), parts);
}

bool verify_authentication_tag(const fleet_keys& keys, std::span<const std::byte> tag,
                               std::initializer_list<std::span<const std::byte>> parts) {
    if (tag.size() != authentication_tag_size) {
        return false;
    }
    return std::any_of(keys.keys.begin(), keys.keys.end(), [&](const std::string& key) {
        const auto expected = compute_tag_with_key(key, parts);
        return CRYPTO_memcmp(expected.data(), tag.data(), tag.size()) == 0;
    });
}

bool secrets_equal(std::string_view given, std::string_view expected) {
    // The digests are compared instead of the texts, so that the time depends neither on where the texts
    // differ nor on the length of `expected`.
    const auto digest = [](std::string_view text) {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest_bytes{};
        unsigned int size = 0;
        EVP_Digest(text.data(), text.size(), digest_bytes.data(), &size, EVP_sha256(), nullptr);
        return digest_bytes;
    };
    const auto left = digest(given);
    const auto right = digest(expected);
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

result<void> replay_guard::accept(const ip_address& sender, std::uint64_t incarnation,
                                  std::uint64_t sequence) {
    const auto replayed = [] {
        return fail(error_kind::replayed, "the message was received before or is too old");
    };
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        evict_sender_if_full();
        found = senders_.emplace(sender, sender_window{.incarnation = incarnation}).first;
    }
    auto& window = found->second;
    if (incarnation < window.incarnation) {
        return replayed();
    }
    if (incarnation > window.incarnation) {
        window = {.incarnation = incarnation};
    }
    if (sequence + window_bits <= window.highest_sequence) {
        return replayed();
    }
    if (sequence > window.highest_sequence) {
        const std::uint64_t cleared_count =
            std::min<std::uint64_t>(sequence - window.highest_sequence, window_bits);
        for (std::uint64_t offset = 0; offset < cleared_count; ++offset) {
            const std::uint64_t bit = (sequence - offset) % window_bits;
            window.accepted_bits[bit / 64] &= ~(1ULL << (bit % 64));
        }
        window.highest_sequence = sequence;
    }
    const std::uint64_t bit = sequence % window_bits;
    const std::uint64_t mask = 1ULL << (bit % 64);
    if ((window.accepted_bits[bit / 64] & mask) != 0) {
        return replayed();
    }
    window.accepted_bits[bit / 64] |= mask;
    window.last_accepted = ++accepted_count_;
    return {};
}

std::uint64_t replay_guard::latest_incarnation(const ip_address& sender) const {
    const auto found = senders_.find(sender);
    return found == senders_.end() ? 0 : found->second.incarnation;
}

void replay_guard::evict_sender_if_full() {
    if (senders_.size() < max_senders_) {
        return;
    }
    const auto oldest =
        std::min_element(senders_.begin(), senders_.end(), [](const auto& left, const auto& right) {
            return left.second.last_accepted < right.second.last_accepted;
        });
    senders_.erase(oldest);
}

}  // namespace guavaramp
