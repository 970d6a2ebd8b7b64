#include <guavaramp/traffic/fabric.hpp>
#include <guavaramp/traffic/latency_histogram.hpp>

#include <property.hpp>

#include <algorithm>
#include <set>

namespace guavaramp {
namespace {

constexpr mono_time start{};

// Guards against packets to a removed entry VM after the delay, and against a removal without delay.
TEST_CASE("FabricTest.RemovalTakesEffectAtItsMoment") {
    fabric view;
    const auto first = *parse_endpoint("127.10.1.1:6080");
    const auto second = *parse_endpoint("127.10.1.2:6080");
    view.add("hai-chau", first, start);
    view.add("hai-chau", second, start);
    view.remove(first, start + std::chrono::milliseconds{500});
    std::mt19937_64 random{1};
    const auto chosen = [&] {
        std::set<endpoint> seen;
        for (int draw = 0; draw < 64; ++draw) {
            seen.insert(*view.choose("hai-chau", random));
        }
        return seen;
    };
    view.advance(start);
    CHECK(chosen().size() == 2);
    view.advance(start + std::chrono::milliseconds{500});
    CHECK(chosen() == std::set{second});
}

// Guards against a caller that cannot send when its failure domain has lost all entry VMs.
TEST_CASE("FabricTest.EmptyDomainUsesOtherDomains") {
    fabric view;
    std::mt19937_64 random{1};
    CHECK(view.choose("cam-le", random) == nullptr);
    view.add("son-tra", *parse_endpoint("127.10.2.1:6080"), start);
    view.advance(start);
    CHECK(view.choose("cam-le", random) != nullptr);
}

// Guards against quantiles that are off by more than the buckets' relative error.
TEST_CASE("LatencyHistogramTest.QuantilesAreWithinTheBucketError") {
    check_property("quantile is near the sorted value", [](std::vector<std::uint32_t> values) {
        RC_PRE(!values.empty());
        latency_histogram histogram;
        for (auto& value : values) {
            value %= 60'000'000;
            histogram.add(std::chrono::microseconds{value});
        }
        std::ranges::sort(values);
        const auto expected = static_cast<double>(values[(values.size() - 1) / 2]) / 1000.0;
        const auto found = histogram.quantile_ms(0.5);
        RC_ASSERT(found <= expected);
        RC_ASSERT(found >= expected * (1.0 - 1.0 / 32.0) - 0.001);
    });
}

}  // namespace
}  // namespace guavaramp
