#pragma once

#include <guavaramp/flow/steering.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace guavaramp {

/// Simulated fleet: the steering states of entry VMs, hosts that answer as TCP endpoints do, and callers.
/// They are connected by queues that lose, duplicate and reorder relay messages. The clock is simulated, so
/// no test waits.
class fake_fleet {
public:
    struct host {
        std::set<flow_key> connections;
        std::set<flow_key> forgotten_flows;    ///< flows whose packets the host does not answer
        std::set<endpoint> service_addresses;  ///< services of which the host may receive packets
        bool is_silent{false};                 ///< the host answers no packet
    };

    struct caller_flow {
        flow_key key;
        std::uint32_t sequence{1000};
        bool established{false};
        bool acknowledged{true};  ///< the host has answered the last data
        int reset_count{0};
        mono_time first_data_at{};  ///< time when the first data was sent
        mono_time reset_at{};       ///< time of the first RST
    };

    explicit fake_fleet(std::uint64_t seed) : random_(seed) {}

    std::mt19937_64& random() { return random_; }
    bool chance(double probability) { return std::uniform_real_distribution<>{}(random_) < probability; }
    std::size_t random_index(std::size_t count) { return random_() % count; }

    void add_vm(std::uint32_t number) {
        const auto address = from_ipv4(0x7f0a0100U + number);
        vms[address] = std::make_unique<steering_state>(
            steering_options{.local = address, .max_flows = max_flows, .egress = egress}, now);
        set_config(*vms[address], config, now);
    }

    /// Sets the same member list on every VM except `unaware_vm`, which keeps its old one.
    void publish_members(const ip_address* unaware_vm = nullptr) {
        member_list list;
        for (const auto& [address, vm] : vms) {
            list.members.push_back({.address = address,
                                    .failure_domain = "d1",
                                    .state = vm->leaving ? member_state::leaving : member_state::alive});
        }
        for (auto& [address, vm] : vms) {
            if (unaware_vm == nullptr || *unaware_vm != address) {
                set_members(*vm, list, now);
            }
        }
    }

    /// Replaces the configuration and sets it on each VM with the given probability.
    void publish_config(configuration value, double vm_probability = 1.0) {
        config = std::make_shared<const config_snapshot>(std::move(value));
        for (auto& [address, vm] : vms) {
            if (chance(vm_probability)) {
                set_config(*vm, config, now);
            }
        }
    }

    /// Sends a caller's packet through a given VM.
    void send(caller_flow& flow, const ip_address& vm, std::uint8_t flags, std::size_t size) {
        const std::vector<std::byte> data(size);
        in_flight_.push_back({.deliver_at = now.mono,
                              .vm = vm,
                              .bytes = build({.source = flow.key.caller,
                                              .destination = flow.key.service,
                                              .protocol = flow.key.protocol,
                                              .tcp_flags = flags,
                                              .sequence = flow.sequence,
                                              .acknowledgment = 5000,
                                              .payload = data})});
    }

    /// Sends a relay message with any content from a random VM to a random VM, as a peer with a wrong state
    /// does.
    void inject(const relay_header& header, const std::vector<std::byte>& bytes) {
        in_flight_.push_back({.deliver_at = now.mono,
                              .vm = random_vm(),
                              .sender = random_vm(),
                              .relay = true,
                              .header = header,
                              .bytes = bytes});
    }

    ip_address random_vm() {
        return std::next(vms.begin(), static_cast<std::ptrdiff_t>(random_index(vms.size())))->first;
    }

    /// Advances the simulated time by `duration` in steps of 10 ms.
    void run(std::chrono::milliseconds duration) {
        for (auto left = duration.count(); left > 0; left -= step.count()) {
            deliver_due();
            now.mono += step;
            now.wall += step;
            for (auto& [address, vm] : vms) {
                run_periodic_work(*vm, now, effects_);
                apply_effects(address);
            }
            deliver_due();
        }
    }

    std::map<ip_address, std::unique_ptr<steering_state>> vms;
    std::map<endpoint, host> hosts;
    std::map<flow_key, caller_flow*> flows;
    std::shared_ptr<const config_snapshot> config;
    std::vector<flow_record> ended;
    std::map<drop_reason, int> drops;
    int misdelivered_packets{0};  ///< packets that reached an upstream of another service
    int unknown_flow_packets{0};  ///< data packets that reached a host without the connection
    double loss{0.0};
    std::size_t max_flows{4096};
    steering_time now{.mono = mono_time{} + std::chrono::hours{1}, .wall = from_unix_ms(1'000'000'000)};
    endpoint egress{.address = from_ipv4(0x7f1e0001), .port = 6080};

private:
    static constexpr std::chrono::milliseconds step{10};

    struct message {
        mono_time deliver_at;
        ip_address vm;
        ip_address sender;  ///< sending VM of a relay message
        endpoint host;      ///< sending host of an answer; the port is 0 for other packets
        bool relay{false};
        relay_header header;
        std::vector<std::byte> bytes;
    };

    static std::vector<std::byte> build(const ip_packet& packet) {
        std::vector<std::byte> bytes(200 + packet.payload.size());
        bytes.resize(build_ip_packet(packet, bytes));
        return bytes;
    }

    void deliver_due() {
        for (bool any = true; any;) {
            any = false;
            auto due = std::exchange(in_flight_, {});
            for (auto& one : due) {
                if (one.deliver_at > now.mono) {
                    in_flight_.push_back(std::move(one));
                } else {
                    deliver(one);
                    any = true;
                }
            }
        }
    }

    void deliver(const message& one) {
        const auto vm = vms.find(one.vm);
        const auto packet = parse_ip_packet(one.bytes);
        if (vm == vms.end() || !packet) {
            return;
        }
        if (one.relay) {
            apply(*vm->second,
                  relay_packet{.sender = one.sender,
                               .header = one.header,
                               .inner = one.bytes,
                               .packet = *packet,
                               .hash = hash_flow(flow_from_caller(*packet))},
                  now, effects_);
        } else if (one.host.port != 0 && is_from_upstream(*vm->second, one.host, *packet)) {
            apply(*vm->second,
                  upstream_packet{.source = one.host,
                                  .inner = one.bytes,
                                  .packet = *packet,
                                  .hash = hash_flow(flow_from_upstream(*packet))},
                  now, effects_);
        } else {
            apply(*vm->second,
                  caller_packet{
                      .inner = one.bytes, .packet = *packet, .hash = hash_flow(flow_from_caller(*packet))},
                  now, effects_);
        }
        apply_effects(one.vm);
    }

    void apply_effects(const ip_address& vm) {
        auto done = std::exchange(effects_, {});
        for (const auto reason : done.drops) {
            ++drops[reason];
        }
        ended.insert(ended.end(), done.ended.begin(), done.ended.end());
        for (const auto& effect : done.sends) {
            const std::vector<std::byte> bytes{effect.bytes().begin(), effect.bytes().end()};
            if (effect.kind == send_kind::relay) {
                relay(vm, effect, bytes);
            } else if (effect.kind == send_kind::to_caller || effect.kind == send_kind::reset_caller) {
                receive_at_caller(*parse_ip_packet(bytes));
            } else {
                receive_at_host(effect.destination, vm, *parse_ip_packet(bytes));
            }
        }
    }

    void relay(const ip_address& vm, const send_effect& effect, const std::vector<std::byte>& bytes) {
        for (int copies = chance(loss) ? 0 : (chance(loss) ? 2 : 1); copies > 0; --copies) {
            const auto delay = chance(loss) ? 20 : 0;
            in_flight_.push_back({.deliver_at = now.mono + std::chrono::milliseconds{delay},
                                  .vm = effect.destination.address,
                                  .sender = vm,
                                  .relay = true,
                                  .header = effect.relay,
                                  .bytes = bytes});
        }
    }

    void receive_at_host(const endpoint& address, const ip_address& vm, const ip_packet& packet) {
        auto& one = hosts[address];
        const auto flow = flow_from_caller(packet);
        misdelivered_packets += one.service_addresses.contains(packet.destination) ? 0 : 1;
        if (one.is_silent || one.forgotten_flows.contains(flow)) {
            return;
        }
        if (packet.tcp_flags == tcp_flag::syn) {
            one.connections.insert(flow);
        }
        const bool known = one.connections.contains(flow);
        unknown_flow_packets += !known && !packet.payload.empty() ? 1 : 0;
        if ((packet.tcp_flags & tcp_flag::rst) != 0) {
            one.connections.erase(flow);
            return;
        }
        const std::vector<std::byte> data(packet.payload.size());
        ip_packet answer{
            .source = packet.destination, .destination = packet.source, .protocol = packet.protocol};
        answer.sequence = 5000;
        answer.acknowledgment = packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
        answer.tcp_flags = known ? tcp_flag::ack : tcp_flag::rst;
        if (known && (packet.tcp_flags & tcp_flag::syn) != 0) {
            answer.tcp_flags |= tcp_flag::syn;
            ++answer.acknowledgment;
        }
        answer.payload = known ? std::span<const std::byte>{data} : std::span<const std::byte>{};
        in_flight_.push_back({.deliver_at = now.mono, .vm = vm, .host = address, .bytes = build(answer)});
    }

    void receive_at_caller(const ip_packet& packet) {
        const auto found = flows.find(flow_from_upstream(packet));
        if (found == flows.end()) {
            return;
        }
        auto& flow = *found->second;
        if ((packet.tcp_flags & tcp_flag::rst) != 0) {
            flow.reset_at = flow.reset_count == 0 ? now.mono : flow.reset_at;
            ++flow.reset_count;
        }
        flow.established = flow.established || (packet.tcp_flags & tcp_flag::syn) != 0;
        flow.acknowledged = flow.acknowledged || !packet.payload.empty();
    }

    std::mt19937_64 random_;
    std::vector<message> in_flight_;
    steering_effects effects_;
};

}  // namespace guavaramp
