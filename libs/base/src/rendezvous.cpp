#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>

#include <algorithm>
#include <cmath>

namespace guavaramp {

std::uint64_t rendezvous_key(const ip_address& address) noexcept {
    return hash_bytes(std::as_bytes(std::span{address.bytes}));
}

double rendezvous_score(const rendezvous_node& node, std::uint64_t item) noexcept {
    if (node.weight <= 0.0) {
        return 0.0;
    }
    constexpr double two_to_53 = 9007199254740992.0;
    const double uniform = (static_cast<double>(mix_hashes(node.key, item) >> 11U) + 0.5) / two_to_53;
    return -node.weight / std::log(uniform);
}

std::vector<std::size_t> rendezvous_order(std::span<const rendezvous_node> nodes, std::uint64_t item,
                                          std::size_t count) {
    struct scored {
        double score;
        std::size_t index;
    };
    std::vector<scored> scores;
    scores.reserve(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (nodes[index].weight > 0.0) {
            scores.push_back({rendezvous_score(nodes[index], item), index});
        }
    }
    const std::size_t kept = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(kept), scores.end(),
                      [&nodes](const scored& left, const scored& right) {
                          if (left.score != right.score) {
                              return left.score > right.score;
                          }
                          return nodes[left.index].key < nodes[right.index].key;
                      });
    std::vector<std::size_t> order;
    order.reserve(kept);
    for (std::size_t rank = 0; rank < kept; ++rank) {
        order.push_back(scores[rank].index);
    }
    return order;
}

}  // namespace guavaramp
