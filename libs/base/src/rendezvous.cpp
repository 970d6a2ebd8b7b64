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
    struct scored_node {
        double score;
        std::size_t index;
    };
    std::vector<scored_node> scored;
    scored.reserve(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (nodes[index].weight > 0.0) {
            scored.push_back({rendezvous_score(nodes[index], item), index});
        }
    }
    const std::size_t result_size = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(result_size), scored.end(),
                      [&nodes](const scored_node& left, const scored_node& right) {
                          if (left.score != right.score) {
                              return left.score > right.score;
                          }
                          return nodes[left.index].key < nodes[right.index].key;
                      });
    std::vector<std::size_t> order;
    order.reserve(result_size);
    for (std::size_t rank = 0; rank < result_size; ++rank) {
        order.push_back(scored[rank].index);
    }
    return order;
}

}  // namespace guavaramp
