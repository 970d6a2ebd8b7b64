#include <guavaramp/traffic/host_connections.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace guavaramp {
namespace {

// A leaving upstream gets no new work 3 s after the change is accepted.
constexpr auto drain_grace = std::chrono::seconds{3};

host_answer make_answer(const ip_packet& packet, std::uint8_t flags, std::uint32_t sequence,
                        std::uint32_t acknowledgment, mono_time due) {
    return {.due = due,
            .header = {.source = packet.destination,
                       .destination = packet.source,
                       .protocol = packet.protocol,
                       .tcp_flags = flags,
                       .sequence = sequence,
                       .acknowledgment = acknowledgment}};
}

std::string echo_payload(const std::string& name, std::span<const std::byte> payload) {
    std::string text = name + answer_separator;
    text.append(reinterpret_cast<const char*>(payload.data()), payload.size());
    return text;
}

bool has_flag(const ip_packet& packet, std::uint8_t flag) noexcept { return (packet.tcp_flags & flag) != 0; }

}  // namespace

host_connections::host_connections(host_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      slot_free_at_(std::max<std::size_t>(options_.slots, 1)) {}

std::vector<host_answer> host_connections::receive(const endpoint& outer_source, const ip_packet& packet,
                                                   mono_time now) {
    ++counters_.packets;
    if (std::ranges::find(options_.services, packet.destination) == options_.services.end()) {
        ++counters_.misdelivered;
        return {};
    }
    const auto key = flow_from_caller(packet);
    if (forgotten_.contains(key)) {
        ++counters_.forgotten_packets;
        return {};
    }
    std::vector<host_answer> answers;
    if (packet.protocol == transport::udp) {
        return receive_udp(outer_source, packet, now);
    }
    const auto found = connections_.find(key);
    if (found != connections_.end()) {
        answers = receive_known(packet, key, found->second, now);
    } else if (has_flag(packet, tcp_flag::rst)) {
        return {};
    } else if (has_flag(packet, tcp_flag::syn) && !has_flag(packet, tcp_flag::ack) &&
               counters_.connections < options_.max_connections) {
        answers.push_back(accept(packet, key, now));
    } else {
        answers.push_back(answer_unknown(packet, now));
    }
    for (auto& answer : answers) {
        answer.outer_destination = outer_source;
    }
    return answers;
}

std::vector<host_answer> host_connections::receive_udp(const endpoint& outer, const ip_packet& packet,
                                                       mono_time now) {
    ++counters_.data_packets;
    auto answer = make_answer(packet, 0, 0, 0, run_work(now));
    answer.outer_destination = outer;
    answer.payload = echo_payload(options_.name, packet.payload);
    return {std::move(answer)};
}

host_answer host_connections::accept(const ip_packet& packet, const flow_key& key, mono_time now) {
    ++counters_.accepted;
    ++counters_.connections;
    if (drain_marked_ && now - drain_started_ > drain_grace) {
        ++counters_.accepted_after_drain;
    }
    connection fresh;
    fresh.initial_receive = packet.sequence;
    fresh.next_receive = packet.sequence + 1;
    fresh.initial_send = static_cast<std::uint32_t>(random_());
    fresh.next_send = fresh.initial_send + 1;
    fresh.last_receive = packet.sequence;
    connections_[key] = fresh;
    return make_answer(packet, tcp_flag::syn | tcp_flag::ack, fresh.initial_send, fresh.next_receive, now);
}

std::vector<host_answer> host_connections::receive_known(const ip_packet& packet, const flow_key& key,
                                                         connection& known, mono_time now) {
    if (has_flag(packet, tcp_flag::rst)) {
        ++counters_.resets_received;
        close(known);
        connections_.erase(key);
        return {};
    }
    if (has_flag(packet, tcp_flag::syn)) {
        if (packet.sequence != known.initial_receive) {
            return {make_answer(packet, tcp_flag::ack, known.next_send, known.next_receive, now)};
        }
        return {make_answer(packet, tcp_flag::syn | tcp_flag::ack, known.initial_send,
                            known.initial_receive + 1, now)};
    }
    if (has_flag(packet, tcp_flag::fin)) {
        if (!known.closed) {
            close(known);
            known.next_receive = packet.sequence + 1;
        }
        return {make_answer(packet, tcp_flag::fin | tcp_flag::ack, known.next_send, known.next_receive, now)};
    }
    if (!packet.payload.empty()) {
        auto answer = receive_data(packet, known, now);
        // A retransmission of data whose work still runs is answered when the work ends.
        if (answer.due < now) {
            return {};
        }
        return {std::move(answer)};
    }
    if (packet.sequence != known.next_receive) {
        ++counters_.probes_answered;
        return {make_answer(packet, tcp_flag::ack, known.next_send, known.next_receive, now)};
    }
    return {};
}

host_answer host_connections::receive_data(const ip_packet& packet, connection& known, mono_time now) {
    const std::uint8_t flags = tcp_flag::ack | tcp_flag::psh;
    if (packet.sequence == known.next_receive) {
        ++counters_.data_packets;
        known.last_due = run_work(now);
        known.last_receive = packet.sequence;
        known.last_send = known.next_send;
        known.next_receive += static_cast<std::uint32_t>(packet.payload.size());
        auto answer = make_answer(packet, flags, known.last_send, known.next_receive, known.last_due);
        answer.payload = echo_payload(options_.name, packet.payload);
        known.next_send += static_cast<std::uint32_t>(answer.payload.size());
        return answer;
    }
    if (packet.sequence == known.last_receive) {
        auto answer = make_answer(packet, flags, known.last_send, known.next_receive, now);
        answer.payload = echo_payload(options_.name, packet.payload);
        if (known.last_due > now) {
            answer.due = mono_time{};
        }
        return answer;
    }
    return make_answer(packet, tcp_flag::ack, known.next_send, known.next_receive, now);
}

host_answer host_connections::answer_unknown(const ip_packet& packet, mono_time now) {
    if (has_flag(packet, tcp_flag::syn)) {
        ++counters_.refused_full;
    } else {
        ++counters_.unknown_resets;
    }
    if (has_flag(packet, tcp_flag::ack)) {
        return make_answer(packet, tcp_flag::rst, packet.acknowledgment, 0, now);
    }
    return make_answer(packet, tcp_flag::rst | tcp_flag::ack, 0, packet.sequence + 1, now);
}

mono_time host_connections::run_work(mono_time now) {
    if (options_.work_ms <= 0.0) {
        return now;
    }
    const auto duration = std::chrono::duration_cast<mono_time::duration>(
        std::chrono::duration<double, std::milli>{options_.work_ms / options_.speed});
    auto slot = std::ranges::min_element(slot_free_at_);
    *slot = std::max(now, *slot) + duration;
    counters_.busy_us +=
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
    return *slot;
}

void host_connections::close(connection& known) {
    if (!known.closed) {
        known.closed = true;
        --counters_.connections;
    }
}

std::vector<flow_key> host_connections::forget(std::size_t count) {
    std::vector<flow_key> open;
    for (const auto& [key, known] : connections_) {
        if (!known.closed) {
            open.push_back(key);
        }
    }
    std::vector<flow_key> chosen;
    std::ranges::sample(open, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(count), random_);
    for (const auto& key : chosen) {
        connections_.erase(key);
        forgotten_.insert(key);
        --counters_.connections;
        ++counters_.forgotten;
    }
    return chosen;
}

void host_connections::mark_drain(mono_time now) noexcept {
    drain_marked_ = true;
    drain_started_ = now;
}

}  // namespace guavaramp
