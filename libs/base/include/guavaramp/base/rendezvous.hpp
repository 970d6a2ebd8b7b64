#pragma once

#include <guavaramp/base/address.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavaramp {

/// A participant of rendezvous hashing. `key` is the hash of the participant's stable id; a weight of 0
/// excludes it.
struct rendezvous_node {
    std::uint64_t key{0};
    double weight{1.0};
};

/// Key of the process at `address`. Every ranking of entry VMs uses it, so that a VM that only looks for an
/// owner ranks as the owner itself does. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_key(const ip_address& address) noexcept;

/// Score of `node` for `item` (Thaler and Ravishankar, 1998; the logarithmic weighting of Schindelhauer and
/// Schomaker, 2005): -weight / ln(u), u uniform in (0, 1) from the mixed hash. The node with the highest
/// score wins; a node's share is its weight over the sum. Thread-safe.
[[nodiscard]] double rendezvous_score(const rendezvous_node& node, std::uint64_t item) noexcept;

/// Indexes of the `count` highest scoring nodes, best first; fewer when there are fewer nodes with weight.
/// Ties go to the lower key, so that all processes agree. Thread-safe.
[[nodiscard]] std::vector<std::size_t> rendezvous_order(std::span<const rendezvous_node> nodes,
                                                        std::uint64_t item, std::size_t count);

}  // namespace guavaramp
