#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>

#include <property.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

std::vector<rendezvous_node> nodes_with_weights(const std::vector<std::uint8_t>& weights) {
    std::vector<rendezvous_node> nodes;
    for (std::size_t index = 0; index < weights.size(); ++index) {
        nodes.push_back({.key = mix_hashes(index + 1, 7), .weight = static_cast<double>(weights[index])});
    }
    return nodes;
}

// Guards against items that move between the remaining nodes when another node leaves.
TEST_CASE("RendezvousTest.KeepsOrderOfOtherNodesWhenANodeIsRemoved") {
    check_property("the order without a node is the order with it, minus that node",
                   [](const std::vector<std::uint8_t>& weights, std::uint64_t item) {
                       RC_PRE(!weights.empty());
                       auto nodes = nodes_with_weights(weights);
                       auto before = rendezvous_order(nodes, item, nodes.size());
                       const auto removed = *rc::gen::inRange<std::size_t>(0, nodes.size());
                       nodes[removed].weight = 0.0;
                       std::erase(before, removed);
                       RC_ASSERT(rendezvous_order(nodes, item, nodes.size()) == before);
                   });
}

// Guards against shares that are not proportional to the weights. With 20,000 items the standard error of a
// share is about 0.3%, so a deviation of 2% does not occur by chance.
TEST_CASE("RendezvousTest.SharesAreProportionalToWeights") {
    const auto nodes = nodes_with_weights({1, 2, 5});
    std::vector<int> items_per_node(nodes.size());
    constexpr int item_count = 20000;
    for (int item = 0; item < item_count; ++item) {
        ++items_per_node[rendezvous_order(nodes, mix_hashes(static_cast<std::uint64_t>(item), 99), 1)
                             .front()];
    }
    CHECK(items_per_node[0] == doctest::Approx(item_count * 1 / 8.0).epsilon(0.08));
    CHECK(items_per_node[1] == doctest::Approx(item_count * 2 / 8.0).epsilon(0.04));
    CHECK(items_per_node[2] == doctest::Approx(item_count * 5 / 8.0).epsilon(0.02));
}

}  // namespace
}  // namespace guavaramp
