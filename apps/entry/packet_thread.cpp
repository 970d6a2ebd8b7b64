#include "packet_thread.hpp"

#include "packet_counters.hpp"

#include <guavaramp/base/spsc_ring.hpp>
#include <guavaramp/net/udp_socket.hpp>
#include <guavaramp/packet/gue.hpp>
#include <guavaramp/telemetry/log.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

#include <array>
#include <chrono>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace guavaramp {
namespace {

constexpr int poll_timeout_ms = 5;
constexpr auto tick_period = std::chrono::milliseconds{10};
constexpr std::size_t query_ring_size = 256;
constexpr auto query_deadline = std::chrono::milliseconds{200};
// Bounds the time between ticks under full load: 16 batches of 64 packets take about a millisecond.
constexpr int batches_before_tick = 16;

steering_time read_clocks() {
    return {
        .mono = std::chrono::steady_clock::now(),
        .wall = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now())};
}

steering_options options_from(const entry_settings& settings) {
    return {.local = settings.address,
            .max_flows = settings.max_flows,
            .relay_port = settings.ports.relay,
            .egress = settings.egress};
}

std::uint8_t inner_protocol(std::span<const std::byte> inner) noexcept {
    const bool ipv6 = !inner.empty() && (std::to_integer<unsigned>(inner[0]) >> 4U) == 6;
    return ipv6 ? ip_protocol_ipv6 : ip_protocol_ipv4;
}

/// A received packet between parsing and steering.
struct parsed_packet {
    endpoint source;
    std::span<const std::byte> extension;
    std::span<const std::byte> inner;
    ip_packet packet;
    std::uint64_t hash{0};
    bool from_upstream{false};
};

}  // namespace

class packet_thread::impl {
public:
    using query = std::function<void(steering_state&, steering_time)>;

    impl(entry_context& context, packet_thread_options options, udp_socket packets, udp_socket relays)
        : context_(context),
          options_(std::move(options)),
          packet_socket_(std::move(packets)),
          relay_socket_(std::move(relays)),
          counters_(context.counters),
          state_(options_from(context.settings), read_clocks()),
          queries_(query_ring_size),
          thread_([this] { run(); }) {}

    ~impl() {
        ending_ = true;
        thread_.join();
    }

    /// Asks the packet thread and waits. Errors: `overloaded`, `deadline_exceeded`.
    template <typename Answer>
    result<Answer> ask(std::function<Answer(steering_state&, steering_time)> question) {
        auto promise = std::make_shared<std::promise<Answer>>();
        auto answer = promise->get_future();
        {
            const std::lock_guard lock{query_mutex_};
            if (!queries_.push(
                    [promise, question = std::move(question)](steering_state& state, steering_time now) {
                        promise->set_value(question(state, now));
                    })) {
                return fail(error_kind::overloaded, "too many questions about flows");
            }
        }
        if (answer.wait_for(query_deadline) != std::future_status::ready) {
            return fail(error_kind::deadline_exceeded, "the packet thread did not answer in time");
        }
        return answer.get();
    }

private:
    void run() {
        name_thread("packet");
        const std::array<const udp_socket*, 2> sockets{&packet_socket_, &relay_socket_};
        auto next_tick = std::chrono::steady_clock::now();
        while (!ending_) {
            wait_readable(sockets, poll_timeout_ms);
            refresh_snapshots(read_clocks());
            receive_batches();
            const auto now = read_clocks();
            answer_queries(now);
            if (now.mono >= next_tick) {
                next_tick = now.mono + tick_period;
                run_periodic_work(state_, now, effects_);
                execute();
                publish_totals();
            }
            packet_socket_.flush();
            relay_socket_.flush();
        }
    }

    void refresh_snapshots(steering_time now) {
        if (auto newer = context_.config.get_if_changed(config_version_)) {
            set_config(state_, std::move(newer), now);
        }
        if (const auto newer = context_.members.get_if_changed(members_version_)) {
            set_members(state_, *newer, now);
        }
        if (auto newer = context_.blocked_peers.get_if_changed(blocked_version_)) {
            blocked_peers_ = std::move(newer);
        }
        state_.refreshing = context_.refreshing;
        if (context_.leaving && !state_.leaving) {
            set_leaving(state_, now);
        }
    }

    void receive_batches() {
        for (int batch = 0; batch < batches_before_tick; ++batch) {
            const auto packets = packet_socket_.receive();
            const auto relays = relay_socket_.receive();
            if (packets.empty() && relays.empty()) {
                return;
            }
            const auto now = read_clocks();
            steer_packets(packets, now);
            steer_relays(relays, now);
            packet_socket_.flush();
            relay_socket_.flush();
        }
    }

    /// Parses a batch and asks the processor for all its flow entries before the first is used.
    void parse(std::span<const datagram> batch) {
        parsed_.clear();
        for (const auto& received : batch) {
            const auto outer = decode_gue(received.bytes);
            const auto inner =
                outer ? parse_ip_packet(outer->inner) : result<ip_packet>{tl::make_unexpected(error{})};
            if (!inner) {
                count(drop_reason::malformed);
                continue;
            }
            parsed_packet one{.source = received.source,
                              .extension = outer->extension,
                              .inner = outer->inner,
                              .packet = *inner};
            one.from_upstream = is_from_upstream(state_, received.source, *inner);
            one.hash = hash_flow(one.from_upstream ? flow_from_upstream(*inner) : flow_from_caller(*inner));
            state_.flows.prefetch(one.hash);
            parsed_.push_back(one);
        }
    }

    void steer_packets(std::span<const datagram> batch, steering_time now) {
        parse(batch);
        for (const auto& one : parsed_) {
            if (one.from_upstream) {
                counters_.from_upstreams.add();
                apply(state_,
                      upstream_packet{
                          .source = one.source, .inner = one.inner, .packet = one.packet, .hash = one.hash},
                      now, effects_);
            } else {
                counters_.from_fabric.add();
                note_activity(now);
                apply(state_, caller_packet{.inner = one.inner, .packet = one.packet, .hash = one.hash}, now,
                      effects_);
            }
            execute();
        }
    }

    void steer_relays(std::span<const datagram> batch, steering_time now) {
        parse(batch);
        for (const auto& one : parsed_) {
            if (is_blocked(one.source.address)) {
                continue;
            }
            const auto header = decode_relay(one.extension, one.source.address, context_.settings.address,
                                             context_.settings.keys, replays_, one.inner);
            if (!header) {
                count(drop_for(header.error().kind));
                continue;
            }
            counters_.from_peers.add();
            // Questions of peers go on as long as the daemon is listed and must not prolong its planned stop.
            if (header->kind == relay_kind::ask_owner || header->kind == relay_kind::answer) {
                note_activity(now);
            }
            apply(state_,
                  relay_packet{.sender = one.source.address,
                               .header = *header,
                               .inner = one.inner,
                               .packet = one.packet,
                               .hash = hash_flow(flow_from_caller(one.packet))},
                  now, effects_);
            execute();
        }
    }

    static drop_reason drop_for(error_kind kind) noexcept {
        if (kind == error_kind::unauthenticated) {
            return drop_reason::unauthenticated;
        }
        return kind == error_kind::replayed ? drop_reason::replayed : drop_reason::malformed;
    }

    void note_activity(steering_time now) { context_.last_packet_unix_ms = to_unix_ms(now.wall); }

    void count(drop_reason reason) { counters_.drops[static_cast<std::size_t>(reason)]->add(); }

    void execute() {
        for (const auto& effect : effects_.sends) {
            send(effect);
        }
        for (const auto reason : effects_.drops) {
            count(reason);
        }
        for (const auto& record : effects_.ended) {
            counters_.ended[static_cast<std::size_t>(record.end)]->add();
            if (options_.on_flow_ended) {
                options_.on_flow_ended(record);
            }
        }
        for (const auto& peer : effects_.peers_with_newer_config) {
            if (options_.on_newer_config) {
                options_.on_newer_config(peer);
            }
        }
        effects_.clear();
    }

    void send(const send_effect& effect) {
        if (effect.kind == send_kind::relay) {
            send_relay(effect);
            return;
        }
        const auto size = encapsulate(effect.bytes(), {});
        packet_socket_.send(effect.destination, std::span{buffer_}.first(size));
        count_sent(effect.kind, size);
    }

    std::size_t encapsulate(std::span<const std::byte> inner, std::span<const std::byte> extension) {
        return encode_gue({.protocol = inner_protocol(inner), .extension = extension, .inner = inner},
                          buffer_);
    }

    /// Whether a fault injected for tests cuts this daemon off from the peer.
    [[nodiscard]] bool is_blocked(const ip_address& peer) const {
        return blocked_peers_ && blocked_peers_->contains(peer);
    }

    void send_relay(const send_effect& effect) {
        if (is_blocked(effect.destination.address)) {
            return;
        }
        const relay_envelope envelope{.sender = context_.settings.address,
                                      .receiver = effect.destination.address,
                                      .incarnation = context_.incarnation,
                                      .sequence = ++relay_sequence_};
        const auto extension = encode_relay(effect.relay, envelope, context_.settings.keys, effect.bytes());
        const auto size = encapsulate(effect.bytes(), extension);
        relay_socket_.send(effect.destination, std::span{buffer_}.first(size));
        counters_.relays[static_cast<std::size_t>(effect.relay.kind)]->add();
        if (effect.relay.kind == relay_kind::hand_over) {
            counters_.hand_over_bytes.add(size);
        } else {
            counters_.relay_header_bytes.add(gue_base_header_size + relay_header_size);
        }
    }

    void count_sent(send_kind kind, std::size_t size) {
        switch (kind) {
            case send_kind::to_upstream:
                return counters_.to_upstreams.add();
            case send_kind::to_caller:
                return counters_.to_callers.add();
            case send_kind::probe:
                counters_.probe_bytes.add(size);
                return counters_.probes.add();
            case send_kind::reset_caller:
                return counters_.resets_to_callers.add();
            case send_kind::reset_upstream:
                return counters_.resets_to_upstreams.add();
            case send_kind::relay:
                return;
        }
    }

    void answer_queries(steering_time now) {
        query next;
        while (queries_.pop(next)) {
            next(state_, now);
        }
    }

    void publish_totals() {
        counters_.flows_open.set(state_.flows.size());
        counters_.flows_resolving.set(state_.resolutions.size());
        counters_.flows_placed.set(state_.totals.placed_flows);
        counters_.flows_refused.set(state_.totals.refused_flows);
        counters_.flows_evicted.set(state_.totals.evicted_cached_flows);
        counters_.resolutions.set(state_.totals.started_resolutions);
        counters_.owner_bypasses.set(state_.totals.owner_bypasses);
        counters_.flows_suspected.set(state_.totals.suspected_flows);
        counters_.send_failures.set(packet_socket_.send_failures() + relay_socket_.send_failures());
    }

    entry_context& context_;
    packet_thread_options options_;
    udp_socket packet_socket_;
    udp_socket relay_socket_;
    packet_counters counters_;
    steering_state state_;
    steering_effects effects_;
    replay_guard replays_;
    std::vector<parsed_packet> parsed_;
    std::array<std::byte, max_datagram_size> buffer_{};
    std::uint64_t relay_sequence_{0};
    std::uint64_t config_version_{0};
    std::uint64_t members_version_{0};
    std::uint64_t blocked_version_{0};
    std::shared_ptr<const std::set<ip_address>> blocked_peers_;
    std::mutex query_mutex_;  // the ring has one producer; HTTP threads take turns
    spsc_ring<query> queries_;
    std::atomic<bool> ending_{false};
    std::thread thread_;  // last, so that it starts when everything else exists
};

packet_thread::packet_thread(std::unique_ptr<impl> owned) : impl_(std::move(owned)) {}
packet_thread::~packet_thread() = default;

result<std::unique_ptr<packet_thread>> packet_thread::start(entry_context& context,
                                                            packet_thread_options options) {
    const auto& settings = context.settings;
    auto packets = udp_socket::bind({.address = settings.address, .port = settings.ports.packet});
    if (!packets) {
        return tl::make_unexpected(packets.error());
    }
    auto relays = udp_socket::bind({.address = settings.address, .port = settings.ports.relay});
    if (!relays) {
        return tl::make_unexpected(relays.error());
    }
    auto owned = std::make_unique<impl>(context, std::move(options), *std::move(packets), *std::move(relays));
    return std::unique_ptr<packet_thread>{new packet_thread{std::move(owned)}};
}

std::optional<flow_record> packet_thread::find_flow(const flow_key& flow) {
    auto answer = impl_->ask<std::optional<flow_record>>(
        [flow](steering_state& state, steering_time now) { return guavaramp::find_flow(state, flow, now); });
    return answer ? *answer : std::nullopt;
}

result<placement_preview> packet_thread::preview_placement(const flow_key& flow) {
    auto answer = impl_->ask<result<placement_preview>>([flow](steering_state& state, steering_time now) {
        return guavaramp::preview_placement(state, flow, now);
    });
    return answer ? *answer : result<placement_preview>{tl::make_unexpected(answer.error())};
}

}  // namespace guavaramp
