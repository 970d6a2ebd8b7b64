#include <guavaramp/platform/lease_holder.hpp>

#include <property.hpp>

#include <map>
#include <optional>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

constexpr auto duration = milliseconds{1000};

/// A platform with leases on a clock that the test moves, and with answers that take time or get lost.
struct fake_platform final : lease_store {
    mono_time now{std::chrono::hours{1}};
    milliseconds call_time{0};
    bool lose_answers{false};
    std::uint64_t last{0};
    std::map<std::uint64_t, mono_time> leases;
    std::optional<std::uint64_t> marked_by;
    std::vector<std::uint64_t> removed_by;

    bool valid(std::uint64_t lease) {
        std::erase_if(leases, [this](const auto& entry) { return entry.second <= now; });
        if (marked_by && !leases.contains(*marked_by)) {
            marked_by.reset();
        }
        return leases.contains(lease);
    }
    void spend() { now += call_time; }

    result<std::uint64_t> grant_lease(milliseconds length, mono_time) override {
        spend();
        leases[++last] = now + length;
        if (lose_answers) {
            return fail(error_kind::outcome_unknown, "");
        }
        return last;
    }
    result<void> renew_lease(std::uint64_t lease, mono_time) override {
        spend();
        if (!valid(lease)) {
            return fail(error_kind::refused, "");
        }
        leases[lease] = now + duration;
        return lose_answers ? result<void>{fail(error_kind::outcome_unknown, "")} : result<void>{};
    }
    result<std::uint64_t> put_with_lease(const std::string&, const std::string&, std::uint64_t,
                                         std::uint64_t lease, mono_time) override {
        spend();
        if (!valid(lease) || marked_by) {
            return fail(error_kind::conflict, "");
        }
        marked_by = lease;
        if (lose_answers) {
            return fail(error_kind::outcome_unknown, "");
        }
        return 1;
    }
    result<void> remove_with_lease(const std::string&, std::uint64_t, std::uint64_t lease,
                                   mono_time) override {
        spend();
        if (!valid(lease)) {
            return fail(error_kind::refused, "");
        }
        removed_by.push_back(lease);
        return {};
    }
};

lease_holder make_holder(fake_platform& platform, const char* owner) {
    return {platform, "guavaramp/cleanup", owner, duration, [&platform] { return platform.now; }};
}

// Guards against a holder that acts on a lease which lapsed while it was paused.
TEST_CASE("LeaseHolderTest.PausedHolderDoesNotActAfterItsLeaseLapsed") {
    fake_platform platform;
    auto first = make_holder(platform, "a");
    auto second = make_holder(platform, "b");
    REQUIRE(first.acquire_or_renew());
    CHECK_FALSE(second.acquire_or_renew());
    platform.now += duration;
    CHECK_FALSE(first.is_held());
    CHECK(first.remove("x", 1).error().kind == error_kind::refused);
    CHECK(second.acquire_or_renew());
    CHECK_FALSE(first.acquire_or_renew());
    CHECK(platform.removed_by.empty());
}

// Guards against an action that was checked before a pause and reaches the platform after it.
TEST_CASE("LeaseHolderTest.WriteThatArrivesLateIsRefusedByThePlatform") {
    fake_platform platform;
    auto holder = make_holder(platform, "a");
    REQUIRE(holder.acquire_or_renew());
    platform.call_time = duration;
    CHECK(holder.remove("x", 1).error().kind == error_kind::refused);
    CHECK(platform.removed_by.empty());
}

// Guards against two holders at one moment, whatever the calls' times and losses are.
TEST_CASE("LeaseHolderTest.NeverTwoHoldersAtOnce") {
    check_property("exclusive", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        fake_platform platform;
        auto first = make_holder(platform, "a");
        auto second = make_holder(platform, "b");
        for (const auto& [choice, time] : steps) {
            platform.now += milliseconds{time * 5};
            platform.call_time = milliseconds{time % 7 * 60};
            platform.lose_answers = choice % 5 == 0;
            auto& chosen = choice % 2 == 0 ? first : second;
            static_cast<void>(chosen.acquire_or_renew());
            RC_ASSERT_FALSE(first.is_held() && second.is_held());
        }
    });
}

// Guards against a lease that is lost although its holder renews in time.
TEST_CASE("LeaseHolderTest.RenewingHolderKeepsTheLease") {
    fake_platform platform;
    auto holder = make_holder(platform, "a");
    REQUIRE(holder.acquire_or_renew());
    for (int round = 0; round < 20; ++round) {
        platform.now += milliseconds{300};
        CHECK(holder.acquire_or_renew());
    }
    CHECK(platform.last == 1);
}

}  // namespace
}  // namespace guavaramp
