#include <guavaramp/auth/fleet_key.hpp>

#include <property.hpp>

#include <set>

namespace guavaramp {
namespace {

// Guards against accepting a message in which any bit was changed or that was signed with an unknown key.
TEST_CASE("FleetKeyTest.VerificationFailsWhenAnyBitChanges") {
    check_property("verify fails after a flip", [](std::vector<std::uint8_t> values) {
        RC_PRE(!values.empty());
        const fleet_keys keys{.keys = {"first", "second"}};
        const auto tag = compute_authentication_tag(keys, {std::as_bytes(std::span{values})});
        RC_ASSERT(verify_authentication_tag(keys, tag, {std::as_bytes(std::span{values})}));
        RC_ASSERT(verify_authentication_tag({.keys = {"second", "first"}}, tag,
                                            {std::as_bytes(std::span{values})}));
        RC_ASSERT(!verify_authentication_tag({.keys = {"second"}}, tag, {std::as_bytes(std::span{values})}));
        values[*rc::gen::inRange<std::size_t>(0, values.size())] ^= 1U << *rc::gen::inRange(0, 8);
        RC_ASSERT(!verify_authentication_tag(keys, tag, {std::as_bytes(std::span{values})}));
    });
}

// Guards against a recorded message that takes effect a second time, whatever the order of delivery.
TEST_CASE("ReplayGuardTest.AcceptsEachSequenceNumberAtMostOnce") {
    check_property("accepted numbers are distinct", [] {
        replay_guard guard;
        std::set<std::uint64_t> accepted;
        const auto numbers =
            *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 3000));
        for (const auto number : numbers) {
            if (guard.accept(from_ipv4(1), 5, number)) {
                RC_ASSERT(accepted.insert(number).second);
            }
        }
        RC_PRE(!numbers.empty());
        RC_ASSERT(!guard.accept(from_ipv4(1), 4, 5000).has_value());
        RC_ASSERT(guard.accept(from_ipv4(1), 6, 0).has_value());
    });
}

// Guards against rejecting messages that the network has only reordered.
TEST_CASE("ReplayGuardTest.AcceptsReorderedMessagesWithinWindow") {
    replay_guard guard;
    REQUIRE(guard.accept(from_ipv4(1), 5, 1000).has_value());
    for (std::uint64_t number = 0; number < 1000; ++number) {
        CHECK(guard.accept(from_ipv4(1), 5, number).has_value());
    }
}

}  // namespace
}  // namespace guavaramp
