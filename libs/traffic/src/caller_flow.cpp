#include <guavaramp/traffic/caller_flow.hpp>
#include <guavaramp/traffic/host_connections.hpp>

#include <algorithm>
#include <string_view>

namespace guavaramp {
namespace {

// 300 ms doubled 5 times exceeds the limit of 5 s.
constexpr int max_doublings = 5;

answer_verdict break_flow(caller_flow& flow, break_cause cause) noexcept {
    flow.phase = flow_phase::broken;
    flow.cause = cause;
    flow.waiting = false;
    return answer_verdict::broke;
}

void begin_waiting(caller_flow& flow, mono_time now) noexcept {
    flow.waiting = true;
    flow.attempts = 0;
    flow.first_sent = now;
}

std::string_view as_text(std::span<const std::byte> bytes) noexcept {
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

/// Compares sequence numbers modulo 2^32 (RFC 9293 section 3.4).
bool is_before(std::uint32_t left, std::uint32_t right) noexcept {
    return static_cast<std::int32_t>(left - right) < 0;
}

answer_verdict check_data(caller_flow& flow, const ip_packet& packet) {
    const auto text = as_text(packet.payload);
    const auto end_of_host = text.find(answer_separator);
    if (end_of_host == std::string_view::npos) {
        return break_flow(flow, break_cause::wrong_content);
    }
    const auto host = text.substr(0, end_of_host);
    if (!flow.host.empty() && host != flow.host) {
        return break_flow(flow, break_cause::wrong_host);
    }
    if (is_before(packet.sequence, flow.next_receive) || !flow.waiting) {
        return answer_verdict::ignored;
    }
    const auto echoed = text.substr(end_of_host + 1);
    const auto expected = message_payload(flow);
    if (echoed.size() != expected.size()) {
        return break_flow(flow, break_cause::partial_answer);
    }
    if (echoed != expected || packet.sequence != flow.next_receive) {
        return break_flow(flow, break_cause::wrong_content);
    }
    flow.host = host;
    flow.next_send += static_cast<std::uint32_t>(expected.size());
    flow.next_receive += static_cast<std::uint32_t>(packet.payload.size());
    flow.waiting = false;
    return answer_verdict::answered;
}

}  // namespace

const char* to_string(break_cause cause) noexcept {
    switch (cause) {
        case break_cause::none:
            return "none";
        case break_cause::reset:
            return "reset";
        case break_cause::wrong_host:
            return "wrong_host";
        case break_cause::wrong_content:
            return "wrong_content";
        case break_cause::partial_answer:
            return "partial_answer";
        case break_cause::no_answer:
            return "no_answer";
    }
    return "unknown";
}

std::string message_payload(const caller_flow& flow) {
    std::string text = "flow " + std::to_string(flow.number) + " message " + std::to_string(flow.message);
    text.resize(std::max<std::size_t>(flow.payload_size, text.size()), '.');
    return text;
}

caller_segment waiting_segment(const caller_flow& flow) {
    caller_segment segment{.header = {.source = flow.key.caller,
                                      .destination = flow.key.service,
                                      .protocol = flow.key.protocol,
                                      .sequence = flow.next_send,
                                      .acknowledgment = flow.next_receive}};
    if (flow.phase == flow_phase::opening) {
        segment.header.tcp_flags = tcp_flag::syn;
        segment.header.acknowledgment = 0;
    } else if (flow.phase == flow_phase::closing) {
        segment.header.tcp_flags = tcp_flag::fin | tcp_flag::ack;
    } else {
        segment.header.tcp_flags = tcp_flag::ack | tcp_flag::psh;
        segment.payload = message_payload(flow);
    }
    return segment;
}

void begin_open(caller_flow& flow, mono_time now) noexcept {
    flow.phase = flow_phase::opening;
    begin_waiting(flow, now);
}

void begin_message(caller_flow& flow, mono_time now) noexcept {
    ++flow.message;
    begin_waiting(flow, now);
}

void begin_close(caller_flow& flow, mono_time now) noexcept {
    flow.phase = flow_phase::closing;
    begin_waiting(flow, now);
}

mono_time next_retransmission(const caller_flow& flow, mono_time now) noexcept {
    const auto wait = first_retransmission * (1 << std::min<int>(flow.attempts, max_doublings));
    return std::min<mono_time>(now + wait, flow.first_sent + flow.answer_limit);
}

bool break_if_unanswered(caller_flow& flow, mono_time now) noexcept {
    if (!flow.waiting || now - flow.first_sent < flow.answer_limit) {
        return false;
    }
    break_flow(flow, break_cause::no_answer);
    return true;
}

answer_verdict check_answer(caller_flow& flow, const ip_packet& packet, mono_time now) {
    if (flow.phase == flow_phase::broken || flow.phase == flow_phase::ended) {
        return answer_verdict::ignored;
    }
    if ((packet.tcp_flags & tcp_flag::rst) != 0) {
        return break_flow(flow, break_cause::reset);
    }
    if (flow.phase == flow_phase::opening) {
        const std::uint8_t both = tcp_flag::syn | tcp_flag::ack;
        if ((packet.tcp_flags & both) != both || packet.acknowledgment != flow.next_send + 1) {
            return answer_verdict::ignored;
        }
        flow.next_send += 1;
        flow.initial_receive = packet.sequence;
        flow.next_receive = packet.sequence + 1;
        flow.phase = flow_phase::open;
        flow.waiting = false;
        flow.opened = now;
        return answer_verdict::opened;
    }
    if ((packet.tcp_flags & tcp_flag::syn) != 0) {
        // A second SYN-ACK with another initial number comes from a second host that accepted the flow.
        return packet.sequence == flow.initial_receive ? answer_verdict::ignored
                                                       : break_flow(flow, break_cause::wrong_host);
    }
    if (flow.phase == flow_phase::closing) {
        if ((packet.tcp_flags & tcp_flag::fin) == 0) {
            return answer_verdict::ignored;
        }
        flow.phase = flow_phase::ended;
        flow.waiting = false;
        return answer_verdict::closed;
    }
    return packet.payload.empty() ? answer_verdict::ignored : check_data(flow, packet);
}

}  // namespace guavaramp
