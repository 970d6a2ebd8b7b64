#include "fake_fleet.hpp"

#include <guavaramp/base/rendezvous.hpp>

#include <property.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t dispatch_address = 0x0a090001;
constexpr std::uint32_t records_address = 0x0a090002;

endpoint packet_address(std::uint32_t number) {
    return {.address = from_ipv4(0x7f140000U + number), .port = 6080};
}

service make_service(std::uint32_t id, const char* name, std::uint32_t address, std::uint32_t first_upstream,
                     std::uint32_t hosts) {
    service value{
        .id = service_id{id}, .name = name, .address = {.address = from_ipv4(address), .port = 443}};
    for (std::uint32_t index = 0; index < hosts; ++index) {
        const auto number = first_upstream + index;
        value.upstreams.push_back({.id = upstream_id{number},
                                   .name = "h" + std::to_string(number),
                                   .packet_address = packet_address(number)});
    }
    return value;
}

configuration two_services() {
    configuration value{.head = {.revision = config_revision{1}}};
    value.services["dispatch"] = make_service(1, "dispatch", dispatch_address, 1, 6);
    value.services["records"] = make_service(2, "records", records_address, 20, 3);
    return value;
}

/// Sets the services of which each host may receive packets from the configuration.
void set_host_services(fake_fleet& fleet, const configuration& value) {
    for (auto& [address, host] : fleet.hosts) {
        host.service_addresses.clear();
    }
    for (const auto& [name, one] : value.services) {
        for (const auto& host : one.upstreams) {
            fleet.hosts[host.packet_address].service_addresses.insert(one.address);
        }
    }
}

std::unique_ptr<fake_fleet> make_fleet(std::uint64_t seed, std::uint32_t vms) {
    auto fleet = std::make_unique<fake_fleet>(seed);
    fleet->publish_config(two_services());
    set_host_services(*fleet, fleet->config->value());
    for (std::uint32_t number = 1; number <= vms; ++number) {
        fleet->add_vm(number);
    }
    fleet->publish_members();
    return fleet;
}

fake_fleet::caller_flow make_flow(std::uint32_t number, std::uint32_t service) {
    return {.key = {.caller = {.address = from_ipv4(0x0b000000U + number), .port = 4000},
                    .service = {.address = from_ipv4(service), .port = 443}}};
}

/// Opens `count` flows and repeats unanswered SYNs up to 20 times. A third of the flows belong to "records".
std::vector<std::unique_ptr<fake_fleet::caller_flow>> open_flows(fake_fleet& fleet, std::uint32_t count) {
    std::vector<std::unique_ptr<fake_fleet::caller_flow>> flows;
    for (std::uint32_t number = 0; number < count; ++number) {
        const auto service = number % 3 == 0 ? records_address : dispatch_address;
        flows.push_back(std::make_unique<fake_fleet::caller_flow>(make_flow(number, service)));
        fleet.flows[flows.back()->key] = flows.back().get();
    }
    for (int attempt = 0; attempt < 20; ++attempt) {
        for (auto& flow : flows) {
            if (!flow->established) {
                fleet.send(*flow, fleet.random_vm(), tcp_flag::syn, 0);
            }
        }
        fleet.run(milliseconds{300});
    }
    for (auto& flow : flows) {
        ++flow->sequence;
    }
    return flows;
}

/// Sends new data through a random VM, or retransmits the last data if it has not been answered.
void send_data(fake_fleet& fleet, fake_fleet::caller_flow& flow) {
    flow.first_data_at = flow.first_data_at == mono_time{} ? fleet.now.mono : flow.first_data_at;
    if (flow.acknowledged) {
        flow.sequence += 100;
        flow.acknowledged = false;
    }
    fleet.send(flow, fleet.random_vm(), tcp_flag::ack | tcp_flag::psh, 100);
}

/// Changes the membership or the configuration of the fleet at random.
void change_randomly(fake_fleet& fleet, std::uint32_t& next_vm) {
    switch (fleet.random_index(5)) {
        case 0:  // A VM crashes, and another one does not learn of it.
            if (fleet.vms.size() > 2) {
                fleet.vms.erase(fleet.random_vm());
                const auto unaware = fleet.random_vm();
                fleet.publish_members(&unaware);
            }
            break;
        case 1:  // A VM without state joins.
            fleet.add_vm(next_vm++);
            fleet.publish_members();
            break;
        case 2:  // A planned stop of a VM begins.
            if (fleet.vms.size() > 3) {
                set_leaving(*fleet.vms.at(fleet.random_vm()), fleet.now);
                fleet.publish_members();
            }
            break;
        case 3: {  // An upstream changes its state and weight, and only some VMs learn of it.
            auto value = fleet.config->value();
            value.head.revision = config_revision{static_cast<std::uint64_t>(value.head.revision) + 1};
            auto& hosts = value.services.at("dispatch").upstreams;
            auto& host = hosts[fleet.random_index(hosts.size() - 1) + 1];
            host.state =
                host.state == upstream_state::active ? upstream_state::draining : upstream_state::active;
            host.weight = static_cast<std::uint32_t>(fleet.random_index(1000) + 1);
            fleet.publish_config(value, 0.5);
            break;
        }
        default:
            fleet.publish_members();
            break;
    }
}

// Guards against flows that break or move to another host while entry VMs crash, join without state and
// leave, relay messages are lost, duplicated and reordered, and configuration revisions differ between VMs.
TEST_CASE("SteeringTest.KeepsUpstreamOfEveryFlowWhenFleetChanges") {
    check_property("no broken flow", [](std::uint64_t seed) {
        auto fleet = make_fleet(seed, 4);
        fleet->loss = 0.05;
        auto flows = open_flows(*fleet, 30);
        std::uint32_t next_vm = 20;
        for (int round = 0; round < 20; ++round) {
            change_randomly(*fleet, next_vm);
            for (auto& flow : flows) {
                if (fleet->chance(0.5)) {
                    send_data(*fleet, *flow);
                }
            }
            fleet->run(milliseconds{200});
        }
        fleet->loss = 0.0;
        fleet->publish_members();
        for (int attempt = 0; attempt < 10; ++attempt) {
            for (auto& flow : flows) {
                if (attempt == 0 || !flow->acknowledged) {
                    send_data(*fleet, *flow);
                }
            }
            fleet->run(milliseconds{500});
        }
        for (const auto& flow : flows) {
            RC_ASSERT(flow->established);
            RC_ASSERT(flow->reset_count == 0);
            RC_ASSERT(flow->acknowledged);
        }
        RC_ASSERT(fleet->unknown_flow_packets == 0);
        RC_ASSERT(fleet->misdelivered_packets == 0);
    });
}

// Guards against placing a flow a second time when its SYN is retransmitted while its ownership moves,
// because of a planned stop or a crash.
TEST_CASE("SteeringTest.SendsRetransmittedSynToSameUpstreamWhenOwnerChanges") {
    check_property("one host a flow", [](std::uint64_t seed, bool crash) {
        auto fleet = make_fleet(seed, 3);
        fleet->run(seconds{5});
        auto flows = open_flows(*fleet, 30);
        const auto stopped = fleet->random_vm();
        if (crash) {
            fleet->vms.erase(stopped);
        } else {
            set_leaving(*fleet->vms.at(stopped), fleet->now);
        }
        fleet->publish_members();
        std::erase_if(flows, [&fleet](const auto& flow) {
            return std::ranges::none_of(fleet->vms, [&](const auto& item) {
                return find_flow(*item.second, flow->key, fleet->now).has_value();
            });
        });
        for (auto& flow : flows) {
            --flow->sequence;
            fleet->send(*flow, fleet->random_vm(), tcp_flag::syn, 0);
            fleet->send(*flow, fleet->random_vm(), tcp_flag::syn, 0);
        }
        fleet->run(seconds{1});
        RC_ASSERT(flows.size() > 15U);
        for (const auto& flow : flows) {
            const auto hosts = std::ranges::count_if(fleet->hosts, [&flow](const auto& item) {
                return item.second.connections.contains(flow->key);
            });
            RC_ASSERT(hosts == 1);
        }
    });
}

// Guards against packets that reach an upstream of another service because a peer names a wrong upstream,
// because an upstream's address is reused by another service, or because a flow is older than that change.
TEST_CASE("SteeringTest.NeverSendsPacketToUpstreamOfAnotherService") {
    check_property("isolation", [](std::uint64_t seed) {
        auto fleet = make_fleet(seed, 3);
        auto flows = open_flows(*fleet, 30);
        // Host 2 is retired from "dispatch", and its address is reused for an upstream of "records" with a
        // new id. All VMs have the changed configuration.
        auto value = fleet->config->value();
        value.head.revision = config_revision{2};
        auto& removed = value.services.at("dispatch").upstreams[1];
        removed.state = upstream_state::retired;
        removed.retired_at = fleet->now.wall;
        auto reused = removed;
        reused.id = upstream_id{40};
        reused.state = upstream_state::active;
        reused.retired_at.reset();
        value.services.at("records").upstreams.push_back(reused);
        fleet->publish_config(value);
        fleet->hosts[removed.packet_address].service_addresses = {value.services.at("records").address};
        fleet->misdelivered_packets = 0;
        for (int round = 0; round < 20; ++round) {
            for (auto& flow : flows) {
                // Peers with a wrong state name any upstream in any kind of relay message.
                const std::vector<std::byte> data(10);
                const ip_packet packet{.source = flow->key.caller,
                                       .destination = flow->key.service,
                                       .tcp_flags = tcp_flag::ack,
                                       .sequence = flow->sequence,
                                       .payload = data};
                std::vector<std::byte> bytes(200);
                bytes.resize(build_ip_packet(packet, bytes));
                const auto kind = static_cast<relay_kind>(fleet->random_index(6) + 1);
                const auto named = upstream_id{static_cast<std::uint32_t>(fleet->random_index(45))};
                fleet->inject({.kind = kind, .origin = fleet->random_vm(), .upstream = named}, bytes);
                send_data(*fleet, *flow);
            }
            fleet->run(milliseconds{200});
        }
        RC_ASSERT(fleet->misdelivered_packets == 0);
    });
}

// Guards against flows that a host no longer answers and that are not reset within 10 s, and against resets
// of idle or healthy flows.
TEST_CASE("SteeringTest.ResetsOnlyFlowsThatTheirHostForgot") {
    check_property("silence", [](std::uint64_t seed) {
        auto fleet = make_fleet(seed, 3);
        auto flows = open_flows(*fleet, 40);
        for (std::size_t index = 0; index < flows.size(); index += 4) {
            for (auto& [address, host] : fleet->hosts) {
                if (host.connections.contains(flows[index]->key)) {
                    host.forgotten_flows.insert(flows[index]->key);
                }
            }
        }
        const auto is_idle = [](std::size_t index) { return index % 4 == 3; };
        for (int round = 0; round < 75; ++round) {
            for (std::size_t index = 0; index < flows.size(); ++index) {
                // Each flow sends in 30% of the rounds only, so that healthy flows also pause for a while.
                if (!is_idle(index) && flows[index]->reset_count == 0 && fleet->chance(0.3)) {
                    send_data(*fleet, *flows[index]);
                }
            }
            fleet->run(milliseconds{200});
        }
        for (std::size_t index = 0; index < flows.size(); ++index) {
            RC_ASSERT((flows[index]->reset_count > 0) == (index % 4 == 0));
            RC_ASSERT(flows[index]->reset_count == 0 ||
                      flows[index]->reset_at - flows[index]->first_data_at <= seconds{10});
        }
        for (const auto& record : fleet->ended) {
            RC_ASSERT(record.end == flow_end::lost_at_upstream || record.end == flow_end::host_unreachable);
        }
    });
}

// Guards against leaving the caller of a flow without an answer when no VM and no host knows the flow, and
// against a reset without a record of its cause.
TEST_CASE("SteeringTest.ResetsFlowAndRecordsCauseWhenNoHostKnowsIt") {
    auto fleet = make_fleet(1, 3);
    auto flow = make_flow(7, dispatch_address);
    fleet->flows[flow.key] = &flow;
    send_data(*fleet, flow);
    fleet->run(milliseconds{200});
    CHECK(flow.reset_count == 1);
    REQUIRE(fleet->ended.size() == 1);
    CHECK(fleet->ended.front().end == flow_end::not_found);
    CHECK(fleet->unknown_flow_packets == 0);
}

// Guards against a flow that breaks because one daemon still has an entry of an earlier flow from the same
// caller port.
TEST_CASE("SteeringTest.IgnoresOutdatedEntryWhenCallerReusesPort") {
    auto fleet = make_fleet(1, 3);
    auto flows = open_flows(*fleet, 30);
    for (auto& flow : flows) {
        for (const auto& [address, vm] : fleet->vms) {
            fleet->send(*flow, address, tcp_flag::ack | tcp_flag::psh, 10);
        }
    }
    fleet->run(seconds{60});
    // The earlier flows have ended, and only the first VM still has their entries.
    for (auto& [address, vm] : fleet->vms) {
        if (address != fleet->vms.begin()->first) {
            vm->flows.visit(0, vm->flows.bucket_count(),
                            [&vm](flow_entry& entry) { vm->flows.erase(entry); });
        }
    }
    for (auto& [address, host] : fleet->hosts) {
        host.connections.clear();
    }
    const auto first = fleet->vms.begin()->first;
    const auto other = std::next(fleet->vms.begin())->first;
    for (auto& flow : flows) {
        flow->sequence = 900'000;
        fleet->send(*flow, other, tcp_flag::syn, 0);
        ++flow->sequence;
    }
    fleet->run(milliseconds{300});
    for (int attempt = 0; attempt < 3; ++attempt) {
        for (auto& flow : flows) {
            flow->acknowledged = attempt > 0 && flow->acknowledged;
            fleet->send(*flow, first, tcp_flag::ack | tcp_flag::psh, 100);
        }
        fleet->run(milliseconds{300});
    }
    for (const auto& flow : flows) {
        CHECK(flow->acknowledged);
        CHECK(flow->reset_count == 0);
    }
}

// Guards against UDP flows that move to another upstream after a planned stop of their owner.
TEST_CASE("SteeringTest.HandsUdpFlowsToNextOwnerInPlannedStop") {
    auto fleet = make_fleet(1, 3);
    auto value = fleet->config->value();
    value.services.at("dispatch").protocol = transport::udp;
    fleet->publish_config(value);
    std::vector<fake_fleet::caller_flow> flows;
    for (std::uint32_t number = 0; number < 30; ++number) {
        flows.push_back(make_flow(number, dispatch_address));
        flows.back().key.protocol = transport::udp;
        fleet->send(flows.back(), fleet->random_vm(), 0, 100);
    }
    fleet->run(seconds{90});
    const auto stopped = fleet->vms.begin()->first;
    std::map<flow_key, upstream_id> chosen;
    for (const auto& flow : flows) {
        for (const auto& [address, vm] : fleet->vms) {
            if (const auto known = find_flow(*vm, flow.key, fleet->now)) {
                chosen[flow.key] = known->upstream;
            }
        }
    }
    // The weights are changed, so that placing the flows now would mostly choose other upstreams.
    for (std::size_t index = 0; index < 4; ++index) {
        value.services.at("dispatch").upstreams[index].weight = 1;
    }
    fleet->publish_config(value);
    set_leaving(*fleet->vms.at(stopped), fleet->now);
    fleet->publish_members();
    fleet->run(seconds{10});
    fleet->vms.erase(stopped);
    fleet->publish_members();
    fleet->run(seconds{90});
    for (auto& flow : flows) {
        fleet->send(flow, fleet->random_vm(), 0, 100);
    }
    fleet->run(seconds{1});
    REQUIRE(chosen.size() == flows.size());
    for (const auto& flow : flows) {
        for (const auto& [address, vm] : fleet->vms) {
            const auto known = find_flow(*vm, flow.key, fleet->now);
            CHECK((!known || known->upstream == chosen.at(flow.key)));
        }
    }
}

// Guards against placing new flows on a draining upstream, and against a configuration change that moves open
// flows.
TEST_CASE("SteeringTest.KeepsOpenFlowsAndPlacesNoneOnDrainingUpstream") {
    auto fleet = make_fleet(1, 3);
    auto flows = open_flows(*fleet, 60);
    auto value = fleet->config->value();
    value.head.revision = config_revision{2};
    auto& drained = value.services.at("dispatch").upstreams[0];
    drained.drain_at = fleet->now.wall;
    fleet->publish_config(value);
    const auto before = fleet->hosts[drained.packet_address].connections;
    REQUIRE(!before.empty());
    for (std::uint32_t number = 100; number < 200; ++number) {
        auto flow = make_flow(number, dispatch_address);
        fleet->send(flow, fleet->random_vm(), tcp_flag::syn, 0);
    }
    for (auto& flow : flows) {
        send_data(*fleet, *flow);
    }
    fleet->run(seconds{2});
    CHECK(fleet->hosts[drained.packet_address].connections == before);
    for (const auto& flow : flows) {
        CHECK(flow->acknowledged);
    }
}

// Guards against new flows placed by a daemon that was paused and whose stale configuration may name a
// drained upstream.
TEST_CASE("SteeringTest.ForwardsKnownFlowsAndPlacesNoneWhenRefreshingAfterPause") {
    auto fleet = make_fleet(1, 1);
    auto flows = open_flows(*fleet, 20);
    for (auto& [address, vm] : fleet->vms) {
        vm->refreshing = true;
    }
    auto late = make_flow(500, dispatch_address);
    fleet->send(late, fleet->random_vm(), tcp_flag::syn, 0);
    for (auto& flow : flows) {
        send_data(*fleet, *flow);
    }
    fleet->run(seconds{1});
    CHECK(fleet->drops[drop_reason::refreshing] > 0);
    for (const auto& flow : flows) {
        CHECK(flow->acknowledged);
    }
    for (const auto& [address, host] : fleet->hosts) {
        CHECK(host.connections.count(late.key) == 0);
    }
}

// Guards against queries about a flow that are sent to the wrong entry VMs. In large fleets only the flow's
// candidate VMs are asked, which are ranked by `rendezvous_key`; steering once ranked them with a different
// seed.
TEST_CASE("SteeringTest.ChoosesOwnersInSharedRendezvousOrder") {
    auto fleet = make_fleet(1, 40);
    std::vector<ip_address> addresses;
    std::vector<rendezvous_node> nodes;
    for (const auto& [address, vm] : fleet->vms) {
        addresses.push_back(address);
        nodes.push_back({.key = rendezvous_key(address)});
    }
    for (std::uint32_t number = 0; number < 50; ++number) {
        const auto flow = make_flow(number, dispatch_address);
        const auto preview = preview_placement(*fleet->vms.begin()->second, flow.key, fleet->now);
        REQUIRE(preview.has_value());
        const auto order = rendezvous_order(nodes, hash_flow(flow.key), 2);
        CHECK(preview->owner == addresses[order[0]]);
        CHECK(preview->next_owner == addresses[order[1]]);
    }
}

// Guards against dropping or resetting established flows when other flows fill the table.
TEST_CASE("SteeringTest.KeepsEstablishedFlowsWhenTableIsFull") {
    auto fleet = std::make_unique<fake_fleet>(1);
    fleet->max_flows = 64;
    fleet->publish_config(two_services());
    set_host_services(*fleet, fleet->config->value());
    fleet->add_vm(1);
    fleet->publish_members();
    auto flows = open_flows(*fleet, 40);
    for (std::uint32_t number = 1000; number < 1500; ++number) {
        auto flow = make_flow(number, dispatch_address);
        fleet->send(flow, fleet->random_vm(), tcp_flag::syn, 0);
    }
    fleet->run(seconds{1});
    for (auto& flow : flows) {
        send_data(*fleet, *flow);
    }
    fleet->run(seconds{1});
    CHECK(fleet->drops[drop_reason::table_full] > 400);
    for (const auto& flow : flows) {
        CHECK(flow->acknowledged);
        CHECK(flow->reset_count == 0);
    }
}

}  // namespace
}  // namespace guavaramp
