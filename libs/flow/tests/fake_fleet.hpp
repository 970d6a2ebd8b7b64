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

/// Entry VMs' steering states, hosts that answer as TCP endpoints do, and callers that retransmit, connected
/// by queues that lose, repeat and reorder relays. Time is simulated; nothing waits.
class fake_fleet {
public:
    struct host {
        std::set<flow_key> connections;
        std::set<flow_key> forgotten;  ///< silently: nothing is answered for these
        std::set<endpoint> serves;     ///< service addresses for which packets may come
        bool silent{false};
    };

    struct caller_flow {
        flow_key key;
        std::uint32_t sequence{1000};
        bool established{false};
        bool acknowledged{true};  ///< the host answered the last data
        int resets{0};
        mono_time first_data{};  ///< when the first data was sent
        mono_time reset_at{};    ///< when the first RST came
    };

    explicit fake_fleet(std::uint64_t seed) : random_(seed) {}

    std::mt19937_64& random() { return random_; }
    bool chance(double probability) { return std::uniform_real_distribution<>{}(random_) < probability; }
    std::size_t pick(std::size_t count) { return random_() % count; }

    void add_vm(std::uint32_t number) {
        const auto address = from_ipv4(0x7f0a0100U + number);
        vms[address] = std::make_unique<steering_state>(
            steering_options{.local = address, .max_flows = max_flows, .egress = egress}, now);
        set_config(*vms[address], config, now);
    }

    /// Gives every VM the same list; `skip` keeps its old one.
    void publish_members(const ip_address* skip = nullptr) {
        member_list list;
        for (const auto& [address, vm] : vms) {
            list.members.push_back({.address = address,
                                    .failure_domain = "d1",
                                    .state = vm->leaving ? member_state::leaving : member_state::alive});
        }
        for (auto& [address, vm] : vms) {
            if (skip == nullptr || *skip != address) {
                set_members(*vm, list, now);
            }
        }
    }

    void publish_config(configuration value, double share = 1.0) {
        config = std::make_shared<const config_snapshot>(std::move(value));
        for (auto& [address, vm] : vms) {
            if (chance(share)) {
                set_config(*vm, config, now);
            }
        }
    }

    /// A caller's packet through a given VM.
    void send(caller_flow& flow, const ip_address& vm, std::uint8_t flags, std::size_t size) {
        const std::vector<std::byte> data(size);
        in_flight_.push_back({.at = now.mono,
                              .vm = vm,
                              .bytes = build({.source = flow.key.caller,
                                              .destination = flow.key.service,
                                              .protocol = flow.key.protocol,
                                              .tcp_flags = flags,
                                              .sequence = flow.sequence,
                                              .acknowledgment = 5000,
                                              .payload = data})});
    }

    /// A relay with any content, as from a peer whose state is wrong.
    void inject(const relay_header& header, const std::vector<std::byte>& bytes) {
        in_flight_.push_back({.at = now.mono,
                              .vm = any_vm(),
                              .sender = any_vm(),
                              .relay = true,
                              .header = header,
                              .bytes = bytes});
    }

    ip_address any_vm() {
        return std::next(vms.begin(), static_cast<std::ptrdiff_t>(pick(vms.size())))->first;
    }

    /// Runs for `duration` in steps of 10 ms.
    void run(std::chrono::milliseconds duration) {
        for (auto left = duration.count(); left > 0; left -= step.count()) {
            deliver_due();
            now.mono += step;
            now.wall += step;
            for (auto& [address, vm] : vms) {
                advance_clock(*vm, now, effects_);
                execute(address);
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
    int misdelivered{0};  ///< packets of one service at an upstream of another
    int unknown_data{0};  ///< data at a host that does not have the connection
    double loss{0.0};
    std::size_t max_flows{4096};
    steering_time now{.mono = mono_time{} + std::chrono::hours{1}, .wall = from_unix_ms(1'000'000'000)};
    endpoint egress{.address = from_ipv4(0x7f1e0001), .port = 6080};

private:
    static constexpr std::chrono::milliseconds step{10};

    struct message {
        mono_time at;
        ip_address vm;
        ip_address sender;  ///< relays: the sending VM
        endpoint host;      ///< from a host when its port is not 0
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
                if (one.at > now.mono) {
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
        execute(one.vm);
    }

    void execute(const ip_address& vm) {
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
                at_caller(*parse_ip_packet(bytes));
            } else {
                at_host(effect.destination, vm, *parse_ip_packet(bytes));
            }
        }
    }

    void relay(const ip_address& vm, const send_effect& effect, const std::vector<std::byte>& bytes) {
        for (int copies = chance(loss) ? 0 : (chance(loss) ? 2 : 1); copies > 0; --copies) {
            const auto delay = chance(loss) ? 20 : 0;
            in_flight_.push_back({.at = now.mono + std::chrono::milliseconds{delay},
                                  .vm = effect.destination.address,
                                  .sender = vm,
                                  .relay = true,
                                  .header = effect.relay,
                                  .bytes = bytes});
        }
    }

    void at_host(const endpoint& address, const ip_address& vm, const ip_packet& packet) {
        auto& one = hosts[address];
        const auto flow = flow_from_caller(packet);
        misdelivered += one.serves.contains(packet.destination) ? 0 : 1;
        if (one.silent || one.forgotten.contains(flow)) {
            return;
        }
        if (packet.tcp_flags == tcp_flag::syn) {
            one.connections.insert(flow);
        }
        const bool known = one.connections.contains(flow);
        unknown_data += !known && !packet.payload.empty() ? 1 : 0;
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
        in_flight_.push_back({.at = now.mono, .vm = vm, .host = address, .bytes = build(answer)});
    }

    void at_caller(const ip_packet& packet) {
        const auto found = flows.find(flow_from_upstream(packet));
        if (found == flows.end()) {
            return;
        }
        auto& flow = *found->second;
        if ((packet.tcp_flags & tcp_flag::rst) != 0) {
            flow.reset_at = flow.resets == 0 ? now.mono : flow.reset_at;
            ++flow.resets;
        }
        flow.established = flow.established || (packet.tcp_flags & tcp_flag::syn) != 0;
        flow.acknowledged = flow.acknowledged || !packet.payload.empty();
    }

    std::mt19937_64 random_;
    std::vector<message> in_flight_;
    steering_effects effects_;
};

}  // namespace guavaramp
