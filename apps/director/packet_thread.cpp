#include "packet_thread.hpp"

#include "observation_channel.hpp"
#include "request_id.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/suspension.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/director/held_packets.hpp>
#include <guavaramp/director/late_opens.hpp>
#include <guavaramp/director/upstream_choice.hpp>
#include <guavaramp/net/tcp_prober.hpp>
#include <guavaramp/net/udp_socket.hpp>
#include <guavaramp/platform_adapter/packet_codec.hpp>
#include <guavaramp/telemetry/log.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

#include <poll.h>

#include <algorithm>
#include <thread>

namespace guavaramp {
namespace {

using namespace platform_adapter;

/// Maximum time that the thread waits for packets. It bounds the time until the thread notices that it must
/// exit.
constexpr auto max_poll_wait = std::chrono::milliseconds{250};
/// Period at which the thread looks for the first configuration and listing while packets are held until
/// these are known: half of the time that reading them takes.
constexpr auto held_packet_poll_period = std::chrono::milliseconds{10};
/// Time beyond the end of its wait after which the thread counts as paused. The platform stops a process that
/// has used up its processor share for less than 100 ms.
constexpr auto pause_threshold = std::chrono::milliseconds{500};
/// Period at which idle flows are removed and due probes are started.
constexpr auto housekeeping_period = std::chrono::milliseconds{500};
constexpr std::size_t receive_buffer_bytes = 1U << 20U;

mono_time now() { return std::chrono::steady_clock::now(); }

std::int64_t to_ms(mono_time time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

probe_outcome to_probe_outcome(connect_outcome outcome) noexcept {
    switch (outcome) {
        case connect_outcome::connected:
            return probe_outcome::connected;
        case connect_outcome::refused:
            return probe_outcome::refused;
        case connect_outcome::no_answer:
            return probe_outcome::silent;
    }
    return probe_outcome::silent;
}

endpoint endpoint_of(const known_upstream& upstream) {
    return {.address = from_ipv4(upstream.report.address), .port = upstream.report.port};
}

/// Returns whether a decision is logged. Every decision is, except for a packet that goes where the flow's
/// previous one went and does not begin a request with an id.
bool should_log(const decision& decided, const std::array<char, 40>& request_id) noexcept {
    return decided.reason != decision_reason::known_flow || request_id[0] != '\0';
}

class running_packet_thread final : public packet_thread {
public:
    running_packet_thread(director_context& context, udp_socket socket, observation_channel observations)
        : context_(context),
          socket_(std::move(socket)),
          observations_(std::move(observations)),
          state_{.seed = hash_text(context.settings.vm),
                 .subset = subset_from_seed(hash_text(context.settings.vm)),
                 .mechanisms = context.settings.mechanisms,
                 .hedging = {.limit = context.settings.hedge_limit}},
          thread_([this] { run(); }) {}
    running_packet_thread(const running_packet_thread&) = delete;
    running_packet_thread& operator=(const running_packet_thread&) = delete;
    ~running_packet_thread() override { thread_.join(); }

private:
    void run() {
        name_thread("packets");
        while (!context_.threads_must_exit) {
            wait_for_events();
            // An unexpected error loses the packets of one iteration instead of ending the process.
            try {
                run_iteration();
            } catch (const std::exception& failure) {
                unexpected_errors_.add();
                log_event(log_level::error, "unexpected_error",
                          {{"thread", "packets"}, {"message", failure.what()}});
            }
        }
    }

    void run_iteration() {
        check_for_suspension();
        refresh_published_state();
        finish_probes();
        for (auto batch = socket_.receive(); !batch.empty(); batch = socket_.receive()) {
            handle_batch(batch);
        }
        receive_observations();
        run_due_actions();
        if (now() >= next_housekeeping_at_) {
            run_housekeeping();
        }
    }

    void wait_for_events() {
        const auto started = now();
        const auto longest = held_packets_.packets.empty() ? max_poll_wait : held_packet_poll_period;
        const auto probe_deadline = probes_.next_deadline(started + longest);
        const auto deadline = next_late_open_at(state_.hedging, next_timeout_at(state_, probe_deadline));
        poll_descriptors_.clear();
        poll_descriptors_.push_back({.fd = socket_.native_handle(), .events = POLLIN, .revents = 0});
        poll_descriptors_.push_back({.fd = observations_.native_handle(), .events = POLLIN, .revents = 0});
        probes_.add_to_poll(poll_descriptors_);
        const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(deadline - started).count();
        poll(poll_descriptors_.data(), poll_descriptors_.size(),
             static_cast<int>(std::max<std::int64_t>(wait_ms, 0)));
        if (const auto woken = now(); woken >= std::max(deadline, started) + pause_threshold) {
            record_pause(state_, woken);
            pauses_.add();
        }
    }

    /// Marks the director's state as stale if the machine was suspended. The steady clock stands still
    /// meanwhile, so that the state would still look fresh.
    void check_for_suspension() {
        const auto suspended = suspended_time();
        if (was_suspended(suspended_, suspended)) {
            record_suspension(state_, now());
            view_version_ = 0;  // takes the published view again, which may predate the suspension
            suspensions_.add();
        }
        suspended_ = suspended;
    }

    /// Takes the latest values that the control thread has published. If the view or the neighbour has
    /// changed, retries the held packets.
    void refresh_published_state() {
        bool changed = false;
        if (auto newer = context_.view.get_if_changed(view_version_)) {
            const bool is_trusted = !was_suspended(newer->suspended_time_at_refresh, suspended_);
            view_ =
                is_trusted ? std::move(newer) : std::make_shared<const fleet_view>(make_stale_view(*newer));
            changed = true;
        }
        if (const auto newer = context_.neighbour.get_if_changed(neighbour_version_)) {
            neighbour_ = *newer;
            changed = true;
        }
        if (const auto newer = context_.membership.get_if_changed(membership_version_)) {
            state_.subset = subset_among(context_.settings.peers, newer->peers);
            state_.known_directors = newer->peers.size() + 1;
            record_cold_members(state_.cold_hosts, context_.settings.peers, newer->peers,
                                newer->named_by_reader, now());
        }
        if (changed && !held_packets_.packets.empty()) {
            handle_held_packets();
        }
    }

    /// Retries the packets that arrived before the first configuration and listing. Those that still cannot
    /// be decided are held again or passed on.
    void handle_held_packets() {
        const auto time = now();
        for (const auto& held : take_held_packets(held_packets_, time)) {
            const auto packet = decode_packet(held.bytes);
            if (packet && view_ != nullptr && can_decide(*view_, *packet)) {
                handle_packet(*packet, held.bytes, time);
            } else if (packet) {  // always true, because only packets that could be decoded are held
                hold_or_pass_on(*packet, held.bytes, held.arrived_at);
            }
        }
        socket_.flush();
    }

    void handle_batch(std::span<const datagram> batch) {
        const auto time = now();
        context_.last_packet_ms = to_ms(time);
        for (const auto& received : batch) {
            const auto packet = decode_packet(received.bytes);
            if (!packet) {
                malformed_counters_.at(static_cast<std::size_t>(packet.error()))->add();
                continue;
            }
            if (view_ == nullptr || !can_decide(*view_, *packet)) {
                packets_undecided_.add();
                hold_or_pass_on(*packet, received.bytes, time);
                continue;
            }
            handle_packet(*packet, received.bytes, time);
        }
        socket_.flush();
    }

    /// Passes on to the neighbour a packet that this director cannot decide. Holds the packet instead if
    /// there is no neighbour or if another director has already passed it on.
    void hold_or_pass_on(const flow_packet& packet, std::span<const std::byte> bytes, mono_time arrived_at) {
        const bool passes_on = state_.mechanisms.is_enabled(mechanism::neighbour_hand_over);
        if (passes_on && neighbour_ && !packet.is_passed_on) {
            socket_.send(*neighbour_, encode_passed_on(bytes, send_buffer_));
            packets_passed_on_.add();
        } else if (state_.mechanisms.is_enabled(mechanism::packet_holding)) {
            dropped_held_packets_.add(hold_packet(held_packets_, bytes, arrived_at));
        } else {
            dropped_held_packets_.add();
        }
    }

    void handle_packet(const flow_packet& packet, std::span<const std::byte> bytes, mono_time time) {
        const auto decided = decide(state_, *view_, packet, time);
        decision_counters_.at(static_cast<std::size_t>(decided.reason))->add();
        if (decided.outcome == verdict::forward) {
            forward_packet(bytes, decided.target->report, decided.tag);
            if (decided.reason == decision_reason::placed) {
                add_pending_open(state_, packet, bytes, time);
                if (decided.target->report.failure_domain != view_->own_failure_domain) {
                    placed_in_other_domain_.add();
                }
                await_open(state_, *view_, packet, decided, bytes, time);
            }
        } else if (decided.outcome == verdict::reset) {
            send_reset({.flow = packet.flow, .sequence = packet.is_syn ? 0 : packet.acknowledgement});
        }
        if (decided.answered_request_sent_at != mono_time{}) {
            answer_times_.add(time - decided.answered_request_sent_at);
        }
        if (decided.reason == decision_reason::unknown_tag_unconfirmed) {
            context_.listing_refresh_requested = true;
        }
        if (decided.needs_newer_routes) {
            forwarded_without_route_.add();
            context_.routes_refresh_requested = true;
        }
        if (decided.probe_target != nullptr) {
            start_probe(*decided.probe_target, time);
        }
        if (decided.observation) {
            observations_.send_to_all(std::span{&*decided.observation, 1}, time);
            if (decided.observation->kind == host_observation_kind::cleared) {
                queue_stall_end_record(decided.observation->tag, time);
            }
        }
        record_decision(packet, decided, bytes, time);
    }

    void forward_packet(std::span<const std::byte> bytes, const upstream_report& target, steering_tag tag) {
        socket_.send({.address = from_ipv4(target.address), .port = target.port},
                     encode_delivery(bytes, target.delivery_id, tag, send_buffer_));
    }

    void send_reset(const flow_reset& reset) {
        socket_.send(
            {.address = from_ipv4(reset.flow.caller_address), .port = context_.settings.packets.port},
            encode_reset(reset.flow, reset.sequence));
    }

    void run_due_actions() {
        if (view_ == nullptr || view_->upstreams == nullptr) {
            return;
        }
        const auto time = now();
        const auto due = handle_timeouts(state_, *view_, time);
        for (const auto& reopened : due.retried_opens) {
            forward_packet(reopened.packet, reopened.target->report, reopened.tag);
            (reopened.reason == decision_reason::placed_elsewhere ? moved_opens_ : repeated_opens_).add();
            queue_decision_record({.flow = reopened.flow,
                                   .outcome = verdict::forward,
                                   .reason = reopened.reason,
                                   .tag = static_cast<std::uint32_t>(reopened.tag)},
                                  time);
        }
        send_extra_opens(time);
        for (const auto* suspect : due.probes) {
            start_probe(*suspect, time);
        }
        observations_.send_to_all(due.observations, time);
        for (const auto& evidence : due.stalled) {
            upstreams_stalled_.add();
            queue_stall_record(stall_event::avoided, evidence, time);
        }
        for (const auto& evidence : due.unresponsive) {
            upstreams_unresponsive_.add();
            queue_stall_record(stall_event::flows_reset, evidence, time);
            reset_upstream_flows(evidence.tag, decision_reason::upstream_stalled, time);
        }
        socket_.flush();
    }

    /// Sends late opening packets again to their hosts, within the limit of extra opening packets.
    void send_extra_opens(mono_time time) {
        for (const auto& copy : handle_late_opens(state_, *view_, time)) {
            forward_packet(copy.packet, copy.target->report, copy.tag);
            queue_decision_record({.flow = copy.flow,
                                   .outcome = verdict::forward,
                                   .reason = decision_reason::placed_again,
                                   .tag = static_cast<std::uint32_t>(copy.tag)},
                                  time);
        }
    }

    void receive_observations() {
        if (view_ == nullptr) {
            return;
        }
        const auto time = now();
        observations_.receive([this, time](const endpoint& sender, const host_observation& observation) {
            const auto effect = handle_observation(state_, *view_, observation, time);
            if (effect.reply) {
                observations_.send_to(sender, *effect.reply, time);
            }
            if (effect.forward) {
                observations_.send_to_all(std::span{&*effect.forward, 1}, time);
            }
            if (effect.probe_target != nullptr) {
                start_probe(*effect.probe_target, time);
            }
        });
    }

    /// Resets all flows of an upstream that can no longer serve them.
    void reset_upstream_flows(steering_tag tag, decision_reason reason, mono_time time) {
        for (const auto& reset : remove_flows_of(state_, tag)) {
            send_reset(reset);
            decision_counters_.at(static_cast<std::size_t>(reason))->add();
            queue_decision_record({.flow = reset.flow,
                                   .outcome = verdict::reset,
                                   .reason = reason,
                                   .tag = static_cast<std::uint32_t>(tag)},
                                  time);
        }
        socket_.flush();
    }

    void start_probe(const known_upstream& target, mono_time time) {
        const auto tag = tag_of(target.report.delivery_id);
        record_probe_started(health_of(state_, tag), time);
        const auto* reference = find_reference_upstream(state_, *view_, tag, time);
        probes_.start(static_cast<std::uint32_t>(tag), endpoint_of(target),
                      reference == nullptr ? std::nullopt : std::optional{endpoint_of(*reference)}, time);
        probes_started_.add();
    }

    void finish_probes() {
        const auto time = now();
        for (const auto& finished : probes_.collect_finished(time)) {
            auto& health = health_of(state_, steering_tag{finished.key});
            const bool was_unreachable = health.last_probe_failed;
            const auto outcome = to_probe_outcome(finished.outcome);
            const bool has_listing = view_ != nullptr && view_->upstreams != nullptr;
            const auto* known =
                has_listing ? find_by_tag(*view_->upstreams, steering_tag{finished.key}) : nullptr;
            if (known != nullptr && known->report.phase == upstream_phase::draining) {
                record_draining_probe_ended(health, outcome, finished.started,
                                            refusal_interval_of(*view_, *known), time);
            } else {
                record_probe_ended(health, outcome, finished.started, time,
                                   probe_period_of(state_.known_directors));
            }
            const probe_record record{.tag = finished.key,
                                      .outcome = outcome,
                                      .reachability_changed = health.last_probe_failed != was_unreachable};
            if (!context_.probe_records.push(record)) {
                records_lost_.add();
            }
            if (health.last_probe_failed && !was_unreachable) {
                const host_observation observation{.kind = host_observation_kind::unreachable,
                                                   .tag = steering_tag{finished.key}};
                observations_.send_to_all(std::span{&observation, 1}, time);
                if (state_.mechanisms.is_enabled(mechanism::unreachable_reset)) {
                    reset_upstream_flows(steering_tag{finished.key}, decision_reason::upstream_unreachable,
                                         time);
                }
            }
        }
    }

    void record_decision(const flow_packet& packet, const decision& decided, std::span<const std::byte> bytes,
                         mono_time time) {
        const auto request_id = find_request_id(bytes.subspan(packet_header_size));
        if (!should_log(decided, request_id)) {
            return;
        }
        const auto tag = decided.target == nullptr ? packet.tag : tag_of(decided.target->report.delivery_id);
        queue_decision_record({.flow = packet.flow,
                               .outcome = decided.outcome,
                               .reason = decided.reason,
                               .tag = static_cast<std::uint32_t>(tag),
                               .request_id = request_id},
                              time);
    }

    /// Passes a decision to the control thread, with the versions of the configuration and the listing that
    /// it was based on.
    void queue_decision_record(decision_record record, mono_time time) {
        record.configuration_version = view_->routes == nullptr ? 0 : view_->routes->version;
        record.routes_as_of = view_->routes_as_of;
        record.listing_as_of = view_->listing_as_of;
        record.decided_at = time;
        if (!context_.decision_records.push(record)) {
            records_lost_.add();
        }
    }

    void queue_stall_record(stall_event event, const stall_evidence& evidence, mono_time time) {
        const bool has_answered = evidence.last_answer_at != mono_time{};
        const stall_record record{
            .tag = static_cast<std::uint32_t>(evidence.tag),
            .event = event,
            .overdue_requests = evidence.overdue_requests,
            .unanswered_ms = age_ms(evidence.unanswered_since, time),
            .last_answer_age_ms =
                has_answered ? std::optional{age_ms(evidence.last_answer_at, time)} : std::nullopt,
            .mean_answer_ms = static_cast<std::uint32_t>(evidence.mean_answer_ms)};
        if (!context_.stall_records.push(record)) {
            records_lost_.add();
        }
    }

    void queue_stall_end_record(steering_tag tag, mono_time time) {
        const stall_record record{.tag = static_cast<std::uint32_t>(tag),
                                  .event = stall_event::ended,
                                  .stalled_for_ms = age_ms(health_of(state_, tag).stalled_at, time)};
        if (!context_.stall_records.push(record)) {
            records_lost_.add();
        }
    }

    void run_housekeeping() {
        const auto time = now();
        next_housekeeping_at_ = time + housekeeping_period;
        if (view_ == nullptr) {
            return;
        }
        remove_expired_state(state_, *view_, time);
        for (const auto tag : due_probes(state_, *view_, time)) {
            start_probe(*find_by_tag(*view_->upstreams, tag), time);
        }
        flows_held_.set(state_.flows.flows.size());
        cold_openings_.set(state_.cold_hosts.openings_total);
        if (view_->upstreams != nullptr) {
            services_with_kept_hosts_.set(count_reserving_services(state_, *view_, time));
        }
        send_failures_.set(socket_.send_failures());
        publish_hedge_counts();
    }

    void publish_hedge_counts() {
        const auto& counts = state_.hedging.counts;
        extra_opens_tried_.set(counts.tried);
        extra_opens_won_.set(counts.won);
        extra_opens_wasted_.set(counts.wasted);
        for (std::size_t index = 0; index < extra_opens_not_tried_.size(); ++index) {
            if (extra_opens_not_tried_.at(index) != nullptr) {
                extra_opens_not_tried_.at(index)->set(counts.not_tried.at(index));
            }
        }
    }

    [[nodiscard]] counter& extra_open_counter(const char* reason) {
        return context_.counters.get("extra_opens_total",
                                     "Copies of late opening packets, and whether they were of use", reason);
    }

    /// Returns a counter for each reason for which a late opening packet gets no copy; null for `send`.
    [[nodiscard]] std::array<counter*, hedge_decision_count> make_not_tried_counters() {
        std::array<counter*, hedge_decision_count> counters{};
        for (std::size_t index = 0; index < counters.size(); ++index) {
            if (hedge_decision(index) != hedge_decision::send) {
                counters.at(index) = &context_.counters.get("extra_opens_not_tried_total",
                                                            "Late opening packets without a copy, by reason",
                                                            std::string{to_string(hedge_decision(index))});
            }
        }
        return counters;
    }

    [[nodiscard]] std::array<counter*, decision_reason_count> make_decision_counters() {
        std::array<counter*, decision_reason_count> counters{};
        for (std::size_t index = 0; index < counters.size(); ++index) {
            counters.at(index) =
                &context_.counters.get("packets_total", "Packets by the reason of their decision",
                                       std::string{to_string(decision_reason(index))});
        }
        return counters;
    }

    [[nodiscard]] std::array<counter*, packet_decode_error_count> make_malformed_counters() {
        std::array<counter*, packet_decode_error_count> counters{};
        for (std::size_t index = 0; index < counters.size(); ++index) {
            counters.at(index) =
                &context_.counters.get("datagrams_malformed_total", "Datagrams that are no packets",
                                       std::string{to_string(packet_decode_error(index))});
        }
        return counters;
    }

    director_context& context_;
    udp_socket socket_;
    observation_channel observations_;
    tcp_prober probes_;
    director_state state_;
    held_packets held_packets_;
    std::shared_ptr<const fleet_view> view_;
    std::uint64_t view_version_{0};
    std::optional<endpoint> neighbour_;
    std::uint64_t neighbour_version_{0};
    std::uint64_t membership_version_{0};
    std::chrono::milliseconds suspended_{suspended_time()};
    counter& unexpected_errors_{
        context_.counters.get("unexpected_errors_total", "Errors that no handler expected", "packets")};
    counter& suspensions_{
        context_.counters.get("suspensions_total", "Times that this machine was suspended")};
    counter& pauses_{
        context_.counters.get("pauses_total", "Times that the packet thread did not run for long")};
    mono_time next_housekeeping_at_{};
    std::vector<pollfd> poll_descriptors_;
    std::array<std::byte, max_datagram_size> send_buffer_{};
    std::array<counter*, decision_reason_count> decision_counters_{make_decision_counters()};
    std::array<counter*, packet_decode_error_count> malformed_counters_{make_malformed_counters()};
    latency_histogram& answer_times_{context_.counters.get_latency_histogram(
        "answer_seconds", "Time from a caller's request to its first acknowledgement of the answer")};
    counter& probes_started_{context_.counters.get("probes_total", "TCP probes of suspected upstreams")};
    counter& upstreams_stalled_{context_.counters.get(
        "upstreams_stalled_total", "Decisions that an upstream accepts connections and answers no request",
        "avoided")};
    counter& upstreams_unresponsive_{context_.counters.get(
        "upstreams_stalled_total", "Decisions that an upstream accepts connections and answers no request",
        "flows_reset")};
    counter& moved_opens_{context_.counters.get(
        "opens_moved_total", "Unanswered opening packets that were sent to another upstream")};
    counter& repeated_opens_{context_.counters.get(
        "opens_repeated_total", "Unanswered opening packets that were sent again to the same upstream")};
    counter& extra_opens_tried_{extra_open_counter("tried")};
    counter& extra_opens_won_{extra_open_counter("won")};
    counter& extra_opens_wasted_{extra_open_counter("wasted")};
    std::array<counter*, hedge_decision_count> extra_opens_not_tried_{make_not_tried_counters()};
    counter& records_lost_{context_.counters.get("log_records_lost_total", "Decisions that were not logged")};
    counter& packets_undecided_{context_.counters.get(
        "packets_undecided_total", "Packets that came before the configuration or the listing they need")};
    counter& packets_passed_on_{
        context_.counters.get("packets_passed_on_total",
                              "Packets that were handed to a neighbour, without a verdict of their own")};
    counter& dropped_held_packets_{
        context_.counters.get("packets_held_dropped_total", "Those that waited too long or were too many")};
    counter& forwarded_without_route_{context_.counters.get(
        "packets_forwarded_without_route_total",
        "Packets of open flows whose route may be newer than the configuration in force")};
    counter& placed_in_other_domain_{context_.counters.get(
        "flows_placed_in_other_domain_total", "New flows that went to a host of another failure domain")};
    counter& services_with_kept_hosts_{context_.counters.get(
        "services_with_kept_hosts", "Services of which less urgent flows leave hosts to urgent ones", "",
        counter_kind::gauge)};
    counter& flows_held_{context_.counters.get("flows", "Flows held", "", counter_kind::gauge)};
    counter& cold_openings_{
        context_.counters.get("cold_openings_total", "Opening packets to hosts that are warming up")};
    counter& send_failures_{
        context_.counters.get("send_failures_total", "Datagrams that the kernel refused to send")};
    std::thread thread_;  // declared last, because the thread uses all other members
};

}  // namespace

result<std::unique_ptr<packet_thread>> packet_thread::start(director_context& context) {
    auto socket = udp_socket::bind(context.settings.packets, receive_buffer_bytes);
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    auto observations = observation_channel::open(context);
    if (!observations) {
        return tl::make_unexpected(observations.error());
    }
    return std::make_unique<running_packet_thread>(context, *std::move(socket), *std::move(observations));
}

}  // namespace guavaramp
