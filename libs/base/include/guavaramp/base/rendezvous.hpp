#pragma once

#include <guavaramp/base/address.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavaramp {

/// A node among which rendezvous hashing chooses. `key` is the hash of the node's stable id. A node with a
/// weight of 0 is never chosen.
struct rendezvous_node {
    std::uint64_t key{0};
    double weight{1.0};
};

/// Returns the rendezvous key of the process at `address`. Every ranking of entry VMs uses this key, so that
/// a VM that only looks up an owner computes the same ranking as the owner itself. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_key(const ip_address& address) noexcept;

/// Returns the score of `node` for `item` (rendezvous hashing by Thaler and Ravishankar, 1998, with the
/// logarithmic weighting of Schindelhauer and Schomaker, 2005): -weight / ln(u), where u is uniform in (0, 1)
/// and derived from the combined hash of node and item. The node with the highest score is chosen, so a
/// node's share of all items is its weight divided by the sum of the weights. Thread-safe.
[[nodiscard]] double rendezvous_score(const rendezvous_node& node, std::uint64_t item) noexcept;

/// Returns the indexes of the `count` nodes with the highest scores for `item`, highest first; fewer if fewer
/// nodes have a positive weight. Of nodes with equal scores the one with the lower key comes first, so that
/// all processes agree. Thread-safe.
[[nodiscard]] std::vector<std::size_t> rendezvous_order(std::span<const rendezvous_node> nodes,
                                                        std::uint64_t item, std::size_t count);

}  // namespace guavaramp
