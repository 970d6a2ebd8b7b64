#include <guavaramp/membership/membership.hpp>

#include <property.hpp>

#include <algorithm>
#include <deque>
#include <functional>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto tick_period = milliseconds{50};
constexpr std::uint64_t sealing_and_headers = 60;  // incarnation, sequence, tag, UDP and IPv4 headers
constexpr std::uint32_t first_address = 0x7f0a0001;

const mono_time start{std::chrono::hours{1}};

/// The states of several members and the datagrams between them, with faults.
struct fleet {
    std::mt19937_64 random;
    std::vector<membership_state> states;
    std::vector<bool> running;
    std::multimap<mono_time, outgoing_message> in_flight;
    mono_time now{start};
    std::uint64_t bytes_sent{0};
    bool counts_bytes{false};
    double loss{0};
    double duplication{0};
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) { return false; };

    fleet(std::size_t count, std::size_t domains, std::uint64_t seed) : random(seed) {
        std::vector<member> all;
        for (std::size_t index = 0; index < count; ++index) {
            all.push_back({.address = from_ipv4(first_address + static_cast<std::uint32_t>(index)),
                           .failure_domain = "domain-" + std::to_string(index % domains),
                           .region = "region",
                           .incarnation = 1000 + index});
        }
        for (std::size_t index = 0; index < count; ++index) {
            states.push_back(make_membership(all[index], {}, random(), now));
            running.push_back(true);
            send(index, apply(states[index], vm_list_received{.listed = all}, now, random));
        }
    }

    std::size_t index_of(const ip_address& address) const { return to_ipv4(address) - first_address; }

    bool happens(double probability) { return std::bernoulli_distribution{probability}(random); }

    void send(std::size_t from, const membership_effects& effects) {
        for (const auto& message : effects.messages) {
            if (counts_bytes) {
                bytes_sent += encode_message(message.message).size() + sealing_and_headers;
            }
            const std::size_t copies = happens(loss) ? 0 : (happens(duplication) ? 2 : 1);
            for (std::size_t copy = 0; copy < copies && !cut(from, index_of(message.to)); ++copy) {
                const auto delay = milliseconds{std::uniform_int_distribution{1, 40}(random)};
                in_flight.emplace(now + delay, message);
            }
        }
    }

    void deliver_due() {
        while (!in_flight.empty() && in_flight.begin()->first <= now) {
            const auto message = in_flight.begin()->second;
            in_flight.erase(in_flight.begin());
            const auto to = index_of(message.to);
            if (running[to]) {
                send(to, apply(states[to], message_received{message.message}, now, random));
            }
        }
    }

    void run(milliseconds duration) {
        for (const auto end = now + duration; now < end;) {
            now += tick_period;
            deliver_due();
            for (std::size_t index = 0; index < states.size(); ++index) {
                if (running[index]) {
                    send(index, apply(states[index], membership_tick{}, now, random));
                }
            }
        }
    }

    member_state seen(std::size_t by, std::size_t whom) const {
        const auto& peers = states[by].peers;
        const auto found = peers.find(states[whom].self.address);
        return found == peers.end() ? member_state::dead : found->second.known.state;
    }

    /// Whether every running member sees `whom` in a state for which `holds` is true.
    bool all_see(std::size_t whom, const std::function<bool(member_state)>& holds) const {
        for (std::size_t by = 0; by < states.size(); ++by) {
            if (by != whom && running[by] && !holds(seen(by, whom))) {
                return false;
            }
        }
        return true;
    }

    bool all_alive() const {
        for (std::size_t whom = 0; whom < states.size(); ++whom) {
            if (running[whom] &&
                !all_see(whom, [](member_state state) { return state == member_state::alive; })) {
                return false;
            }
        }
        return true;
    }
};

bool is_dead(member_state state) { return state == member_state::dead; }

// Guards against a crash that some members notice late: relays to it are lost for that long.
TEST_CASE("MembershipTest.CrashIsKnownToAllWithinThreeSecondsAtNineMembers") {
    check_property("crash", [](std::uint64_t seed) {
        fleet members{9, 4, seed};
        members.run(seconds{3} + milliseconds{50} * static_cast<int>(seed % 10));
        RC_ASSERT(members.all_alive());
        const auto crashed = seed % 9;
        members.running[crashed] = false;
        members.run(seconds{3});
        RC_ASSERT(members.all_see(crashed, is_dead));
    });
}

// Guards against members that stay dead for ever although they run, and against crashes that go unnoticed
// when datagrams are lost, duplicated and reordered.
TEST_CASE("MembershipTest.LossDuplicationAndReorderingLeaveNoWrongVerdict") {
    check_property("faulty network", [](std::uint64_t seed) {
        fleet members{9, 4, seed};
        members.loss = 0.2;
        members.duplication = 0.2;
        members.run(seconds{5});
        const auto crashed = seed % 9;
        members.running[crashed] = false;
        members.run(seconds{10});
        members.loss = 0;
        members.run(seconds{5});
        RC_ASSERT(members.all_see(crashed, is_dead));
        RC_ASSERT(members.all_alive());
    });
}

// Guards against a partition whose sides never find each other again after both declared the other dead.
TEST_CASE("MembershipTest.PartitionHeals") {
    check_property("partition", [](std::uint64_t seed) {
        fleet members{9, 4, seed};
        members.run(seconds{3});
        members.cut = [](std::size_t from, std::size_t to) { return (from % 4 == 0) != (to % 4 == 0); };
        members.run(seconds{8});
        RC_ASSERT(members.seen(1, 0) == member_state::dead);
        RC_ASSERT(members.seen(0, 1) == member_state::dead);
        RC_ASSERT(members.seen(0, 4) == member_state::alive);
        members.cut = [](std::size_t, std::size_t) { return false; };
        members.run(seconds{3});
        RC_ASSERT(members.all_alive());
    });
}

// Guards against a daemon that declares its peers dead because it was itself paused.
TEST_CASE("MembershipTest.PausedMemberReportsThePauseAndDeclaresNobodyDead") {
    fleet members{9, 4, 7};
    members.run(seconds{3});
    members.running[2] = false;
    members.run(seconds{4});
    members.in_flight.clear();
    members.running[2] = true;
    const auto effects = apply(members.states[2], membership_tick{}, members.now, members.random);
    CHECK(effects.resumed);
    CHECK(effects.changes.empty());
    members.send(2, effects);
    members.run(seconds{3});
    CHECK(members.all_alive());
}

// Guards against new ownership on a member that is about to stop.
TEST_CASE("MembershipTest.LeavingIsKnownToAllAtOnceAndEndsAsDead") {
    fleet members{9, 4, 11};
    members.run(seconds{3});
    members.send(3, apply(members.states[3], leaving_started{}, members.now, members.random));
    members.run(milliseconds{100});
    CHECK(members.all_see(3, [](member_state state) { return state == member_state::leaving; }));
    members.running[3] = false;
    members.run(seconds{3});
    CHECK(members.all_see(3, is_dead));
}

// Guards against "in force" that is never reported, or reported before the last member applied the revision.
TEST_CASE("MembershipTest.ConfirmationCollectsEveryRevision") {
    fleet members{27, 4, 13};
    members.run(seconds{3});
    for (std::size_t index = 0; index < members.states.size(); ++index) {
        CHECK_FALSE(in_force_everywhere(list_members(members.states[0]), config_revision{5}));
        members.send(index, apply(members.states[index], revision_applied{config_revision{5}}, members.now,
                                  members.random));
    }
    members.send(
        0, apply(members.states[0], confirmation_wanted{config_revision{5}}, members.now, members.random));
    members.run(seconds{1});
    CHECK(in_force_everywhere(list_members(members.states[0]), config_revision{5}));
}

// Guards against control traffic that grows with the fleet or exceeds 1 KB/s in steady state.
TEST_CASE("MembershipTest.SteadyTrafficPerMemberIsBelowOneKilobyteASecondAtAnySize") {
    for (const std::size_t count : {9U, 27U, 81U}) {
        fleet members{count, 4, 17};
        members.run(seconds{30});
        members.counts_bytes = true;
        members.run(seconds{10});
        CHECK_MESSAGE(members.bytes_sent / count / 10 <= 1024, "members: " << count);
    }
}

}  // namespace
}  // namespace guavaramp
