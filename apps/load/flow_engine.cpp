#include "flow_engine.hpp"

#include <guavaramp/packet/gue.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace guavaramp {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr auto interval_length = milliseconds{100};
constexpr int receive_batches = 32;
constexpr std::size_t openings_per_step = 256;
constexpr std::size_t timers_per_step = 2048;
// Callers live in 10.64.0.0/10; flow number n has address base + n / ports and port first_port + n % ports.
constexpr std::uint32_t caller_base = (10U << 24U) | (64U << 16U);
constexpr std::uint64_t ports_per_caller = 16384;
constexpr std::uint16_t first_port = 1024;

mono_time now_mono() { return std::chrono::steady_clock::now(); }

mono_time::duration from_ms(double value) {
    return duration_cast<mono_time::duration>(std::chrono::duration<double, std::milli>{value});
}

endpoint caller_of(std::uint64_t number) {
    return {.address = from_ipv4(caller_base + static_cast<std::uint32_t>(number / ports_per_caller)),
            .port = static_cast<std::uint16_t>(first_port + number % ports_per_caller)};
}

std::uint64_t number_of(const endpoint& caller) {
    if (!is_ipv4(caller.address) || caller.port < first_port) {
        return ~std::uint64_t{0};
    }
    return std::uint64_t{to_ipv4(caller.address) - caller_base} * ports_per_caller + caller.port - first_port;
}

}  // namespace

flow_engine::flow_engine(udp_socket socket, std::uint64_t seed)
    : socket_(std::move(socket)),
      random_(seed),
      started_(now_mono()),
      started_unix_ms_(
          duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()),
      thread_([this] { run(); }) {}

flow_engine::~flow_engine() {
    stopped_ = true;
    thread_.join();
}

void flow_engine::run() {
    const std::array<const udp_socket*, 1> sockets{&socket_};
    while (!stopped_) {
        wait_readable(sockets, 1);
        const std::lock_guard lock{mutex_};
        step();
    }
}

void flow_engine::step() {
    receive_all();
    const auto now = now_mono();
    fabric_.advance(now);
    open_flows(now);
    run_timers(now);
    socket_.flush();
}

void flow_engine::receive_all() {
    for (int batch = 0; batch < receive_batches; ++batch) {
        const auto received = socket_.receive();
        if (received.empty()) {
            return;
        }
        const auto now = now_mono();
        for (const auto& item : received) {
            const auto gue = decode_gue(item.bytes);
            if (!gue) {
                ++strays_;
                continue;
            }
            const auto packet = parse_ip_packet(gue->inner);
            if (!packet) {
                ++strays_;
                continue;
            }
            ++packets_received_;
            receive_packet(*packet, now);
        }
    }
}

void flow_engine::receive_packet(const ip_packet& packet, mono_time now) {
    const auto number = number_of(packet.destination);
    if (number >= flows_.size() || flows_[number].flow.key.service != packet.source) {
        ++strays_;
        return;
    }
    auto& slot = flows_[number];
    const auto first_sent = slot.flow.first_sent;
    react(slot, check_answer(slot.flow, packet, now), first_sent, now);
}

void flow_engine::react(flow_slot& slot, answer_verdict verdict, mono_time answered_first_sent,
                        mono_time now) {
    auto& group = groups_[slot.group];
    if (verdict == answer_verdict::ignored) {
        return;
    }
    if (verdict == answer_verdict::broke) {
        note_broken(slot, now);
        return;
    }
    auto& interval = interval_at(answered_first_sent);
    ++interval.answered;
    interval.longest_wait_ms =
        std::max(interval.longest_wait_ms,
                 std::chrono::duration<double, std::milli>(now - answered_first_sent).count());
    if (verdict == answer_verdict::closed) {
        note_ended(slot);
        return;
    }
    if (verdict == answer_verdict::opened) {
        --group.opening;
        ++group.open;
        ++group.opened;
        transmit(slot, {.source = slot.flow.key.caller,
                        .destination = slot.flow.key.service,
                        .tcp_flags = tcp_flag::ack,
                        .sequence = slot.flow.next_send,
                        .acknowledgment = slot.flow.next_receive});
        slot.next_message = first_message_time(group, now);
        if (group.options.lifetime_ms > 0.0) {
            slot.ends = now + from_ms(group.options.lifetime_ms);
        }
    } else {
        ++group.answers;
        group.latency.add(duration_cast<std::chrono::microseconds>(now - answered_first_sent));
        slot.next_message =
            group.options.message_interval_ms > 0.0
                ? std::max(now, answered_first_sent + from_ms(group.options.message_interval_ms))
                : mono_time::max();
    }
    schedule_next(slot, now);
}

void flow_engine::open_flows(mono_time now) {
    for (std::uint32_t index = 0; index < groups_.size(); ++index) {
        auto& group = groups_[index];
        for (std::size_t count = 0; count < openings_per_step; ++count) {
            const bool wanted = !group.closing && group.open + group.opening < group.options.target;
            if (!wanted || domains_.empty() || !take_tokens(group.openings, 1.0, now)) {
                break;
            }
            open_flow(index, now);
        }
    }
}

void flow_engine::open_flow(std::uint32_t group, mono_time now) {
    const std::uint64_t number = flows_.size();
    auto& slot = flows_.emplace_back();
    slot.group = group;
    slot.domain = static_cast<std::uint32_t>(number % domains_.size());
    slot.flow.key = {.caller = caller_of(number), .service = groups_[group].options.service};
    slot.flow.number = number;
    slot.flow.payload_size = groups_[group].options.payload_bytes;
    slot.flow.answer_limit = groups_[group].options.answer_limit;
    slot.flow.next_send = static_cast<std::uint32_t>(random_());
    begin_open(slot.flow, now);
    groups_[group].members.push_back(number);
    ++groups_[group].opening;
    ++interval_at(now).sent;
    transmit_waiting(slot, now);
}

void flow_engine::run_timers(mono_time now) {
    for (std::size_t count = 0; count < timers_per_step && !timers_.empty(); ++count) {
        const auto next = timers_.top();
        if (next.when > now) {
            return;
        }
        timers_.pop();
        auto& slot = flows_[next.number];
        // A timer that was replaced by a later one stays in the queue and is skipped.
        if (slot.due == next.when) {
            run_timer(slot, now);
        }
    }
}

void flow_engine::run_timer(flow_slot& slot, mono_time now) {
    auto& flow = slot.flow;
    if (flow.waiting) {
        if (break_if_unanswered(flow, now)) {
            note_broken(slot, now);
            return;
        }
        ++retransmissions_;
        ++interval_at(flow.first_sent).retransmitted;
        transmit_waiting(slot, now);
        return;
    }
    if (flow.phase != flow_phase::open) {
        return;
    }
    if (now >= slot.ends) {
        begin_close(flow, now);
    } else if (now >= slot.next_message) {
        begin_message(flow, now);
        ++groups_[slot.group].messages;
    } else {
        schedule_next(slot, now);
        return;
    }
    ++interval_at(now).sent;
    transmit_waiting(slot, now);
}

void flow_engine::schedule(flow_slot& slot, mono_time when) {
    slot.due = when;
    timers_.push({.when = when, .number = slot.flow.number});
}

void flow_engine::schedule_next(flow_slot& slot, mono_time now) {
    const auto when = std::min(slot.next_message, slot.ends);
    slot.due = mono_time::max();
    if (when != mono_time::max()) {
        schedule(slot, std::max(when, now));
    }
}

void flow_engine::transmit_waiting(flow_slot& slot, mono_time now) {
    const auto segment = waiting_segment(slot.flow);
    auto packet = segment.header;
    packet.payload = std::as_bytes(std::span{segment.payload});
    transmit(slot, packet);
    schedule(slot, next_retransmission(slot.flow, now));
    ++slot.flow.attempts;
}

void flow_engine::transmit(flow_slot& slot, const ip_packet& packet) {
    const auto* entry = fabric_.choose(domains_[slot.domain], random_);
    if (entry == nullptr) {
        ++no_entry_;
        return;
    }
    std::array<std::byte, max_datagram_size> inner{};
    std::array<std::byte, max_datagram_size> outer{};
    const auto inner_size = build_ip_packet(packet, inner);
    const auto size = encode_gue(
        {.protocol = encapsulated_protocol(packet), .inner = std::span{inner}.first(inner_size)}, outer);
    slot.last_entry = *entry;
    socket_.send(*entry, std::span{outer}.first(size));
    ++packets_sent_;
}

void flow_engine::note_broken(flow_slot& slot, mono_time now) {
    auto& group = groups_[slot.group];
    const bool was_open = slot.flow.opened != mono_time{};
    --(was_open ? group.open : group.opening);
    ++group.broken;
    ++interval_at(now).broken;
    broken_.push_back({.number = slot.flow.number, .when = now});
    slot.due = mono_time::max();
}

void flow_engine::note_ended(flow_slot& slot) {
    --groups_[slot.group].open;
    ++groups_[slot.group].ended;
    slot.due = mono_time::max();
}

mono_time flow_engine::first_message_time(const group_state& group, mono_time now) {
    const double interval_ms = group.options.message_interval_ms;
    if (interval_ms <= 0.0) {
        return mono_time::max();
    }
    // Spread over one interval, so that the rate is even.
    return now + from_ms(std::uniform_real_distribution<double>{0.0, interval_ms}(random_));
}

flow_engine::interval_counts& flow_engine::interval_at(mono_time when) {
    const auto index = static_cast<std::size_t>((when - started_) / interval_length);
    if (index >= intervals_.size()) {
        intervals_.resize(index + 1);
    }
    return intervals_[index];
}

std::int64_t flow_engine::unix_ms(mono_time when) const {
    return started_unix_ms_ + duration_cast<milliseconds>(when - started_).count();
}

void flow_engine::set_group(const group_options& options) {
    const std::lock_guard lock{mutex_};
    const auto now = now_mono();
    auto found = std::ranges::find_if(
        groups_, [&options](const group_state& group) { return group.options.name == options.name; });
    if (found == groups_.end()) {
        groups_.emplace_back();
        found = groups_.end() - 1;
    }
    const bool interval_changed = found->options.message_interval_ms != options.message_interval_ms;
    found->options = options;
    found->openings = make_token_bucket(options.open_rate, std::max(1.0, options.open_rate / 50.0), now);
    if (!interval_changed) {
        return;
    }
    for (const auto number : found->members) {
        auto& slot = flows_[number];
        if (slot.flow.phase == flow_phase::open && !slot.flow.waiting) {
            slot.next_message = first_message_time(*found, now);
            schedule_next(slot, now);
        }
    }
}

bool flow_engine::close_group(const std::string& name) {
    const std::lock_guard lock{mutex_};
    const auto now = now_mono();
    for (auto& group : groups_) {
        if (group.options.name != name) {
            continue;
        }
        group.closing = true;
        for (const auto number : group.members) {
            auto& slot = flows_[number];
            // Spread over a second, so that the entry VMs do not get all FINs at once.
            slot.ends = now + milliseconds{random_() % 1000};
            if (slot.flow.phase == flow_phase::open && !slot.flow.waiting) {
                schedule_next(slot, now);
            }
        }
        return true;
    }
    return false;
}

void flow_engine::add_entry(const std::string& domain, const endpoint& entry, milliseconds delay) {
    const std::lock_guard lock{mutex_};
    if (std::ranges::find(domains_, domain) == domains_.end()) {
        domains_.push_back(domain);
    }
    fabric_.add(domain, entry, now_mono() + delay);
}

void flow_engine::remove_entry(const endpoint& entry, milliseconds delay) {
    const std::lock_guard lock{mutex_};
    fabric_.remove(entry, now_mono() + delay);
}

json flow_engine::stats() {
    const std::lock_guard lock{mutex_};
    json groups = json::object();
    json total{{"open", 0}, {"opening", 0}, {"opened", 0}, {"ended", 0}, {"broken", 0}};
    for (const auto& group : groups_) {
        std::map<std::string, std::size_t> hosts;
        for (const auto number : group.members) {
            const auto& flow = flows_[number].flow;
            if (flow.phase == flow_phase::open && !flow.host.empty()) {
                ++hosts[flow.host];
            }
        }
        groups[group.options.name] = {{"open", group.open},
                                      {"opening", group.opening},
                                      {"opened", group.opened},
                                      {"ended", group.ended},
                                      {"broken", group.broken},
                                      {"messages", group.messages},
                                      {"answers", group.answers},
                                      {"p50_ms", group.latency.quantile_ms(0.5)},
                                      {"p99_ms", group.latency.quantile_ms(0.99)},
                                      {"hosts", hosts}};
        for (auto& [key, value] : total.items()) {
            value = value.get<std::uint64_t>() + groups[group.options.name][key].get<std::uint64_t>();
        }
    }
    json causes = json::object();
    for (const auto& item : broken_) {
        const char* cause = to_string(flows_[item.number].flow.cause);
        causes[cause] = causes.value(cause, 0) + 1;
    }
    total["groups"] = std::move(groups);
    total["broken_by_cause"] = std::move(causes);
    total["packets_sent"] = packets_sent_;
    total["packets_received"] = packets_received_;
    total["retransmissions"] = retransmissions_;
    total["strays"] = strays_;
    total["no_entry"] = no_entry_;
    total["send_failures"] = socket_.send_failures();
    total["unix_ms"] = unix_ms(now_mono());
    return total;
}

json flow_engine::broken() {
    const std::lock_guard lock{mutex_};
    json list = json::array();
    for (const auto& item : broken_) {
        const auto& slot = flows_[item.number];
        const bool was_open = slot.flow.opened != mono_time{};
        list.push_back({{"flow", to_string(slot.flow.key.caller) + " -> " + to_string(slot.flow.key.service)},
                        {"group", groups_[slot.group].options.name},
                        {"cause", to_string(slot.flow.cause)},
                        {"at_ms", unix_ms(item.when)},
                        {"opened_ms", was_open ? unix_ms(slot.flow.opened) : 0},
                        {"waiting_since_ms", unix_ms(slot.flow.first_sent)},
                        {"attempts", slot.flow.attempts},
                        {"message", slot.flow.message},
                        {"host", slot.flow.host},
                        {"domain", domains_[slot.domain]},
                        {"last_entry", to_string(slot.last_entry)}});
    }
    return {{"broken", std::move(list)}};
}

json flow_engine::timeline() {
    const std::lock_guard lock{mutex_};
    json list = json::array();
    for (std::size_t index = 0; index < intervals_.size(); ++index) {
        const auto& item = intervals_[index];
        list.push_back({{"at_ms", unix_ms(started_ + interval_length * static_cast<int>(index))},
                        {"sent", item.sent},
                        {"answered", item.answered},
                        {"retransmitted", item.retransmitted},
                        {"broken", item.broken},
                        {"longest_wait_ms", item.longest_wait_ms}});
    }
    return {{"interval_ms", interval_length.count()}, {"intervals", std::move(list)}};
}

}  // namespace guavaramp
