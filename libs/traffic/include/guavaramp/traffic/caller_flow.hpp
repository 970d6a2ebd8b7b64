#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/packet/ip_packet.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace guavaramp {

enum class flow_phase : std::uint8_t { opening, open, closing, ended, broken };

/// Why a flow counts as broken.
enum class break_cause : std::uint8_t {
    none,
    reset,           ///< a RST from the service's address
    wrong_host,      ///< an answer from another host than the first one
    wrong_content,   ///< an answer to something else
    partial_answer,  ///< an answer that is shorter or longer than the whole
    no_answer        ///< retransmissions unanswered until the limit
};

[[nodiscard]] const char* to_string(break_cause cause) noexcept;

/// First retransmission after this time, then after twice the previous wait.
inline constexpr auto first_retransmission = std::chrono::milliseconds{300};
/// A segment without an answer for this long breaks the flow, unless the flow's options say otherwise.
inline constexpr auto default_answer_limit = std::chrono::milliseconds{5000};

/// One caller's flow: at most one segment waits for an answer at a time.
struct caller_flow {
    flow_key key;
    std::uint64_t number{0};  ///< unique in the run; part of every payload
    flow_phase phase{flow_phase::opening};
    break_cause cause{break_cause::none};
    std::uint32_t next_send{0};
    std::uint32_t next_receive{0};
    std::uint32_t initial_receive{0};  ///< the host's first sequence number
    std::uint32_t message{0};          ///< number of the last data segment
    std::uint16_t payload_size{64};
    std::chrono::milliseconds answer_limit{default_answer_limit};
    bool waiting{false};  ///< a segment waits for its answer
    std::uint8_t attempts{0};
    std::string host;  ///< learned from the first answer
    mono_time first_sent{};
    mono_time opened{};
};

/// A segment to send.
struct caller_segment {
    ip_packet header;
    std::string payload;
};

/// The payload of a data segment: flow and message number, filled up to `payload_size`. Thread-safe.
[[nodiscard]] std::string message_payload(const caller_flow& flow);

/// The segment that the flow waits on (SYN, data or FIN). Precondition: `flow.waiting`.
[[nodiscard]] caller_segment waiting_segment(const caller_flow& flow);

/// Begin waiting for SYN, data or FIN. Preconditions: not waiting; phase `opening`, `open`, `open`.
void begin_open(caller_flow& flow, mono_time now) noexcept;
void begin_message(caller_flow& flow, mono_time now) noexcept;
void begin_close(caller_flow& flow, mono_time now) noexcept;

/// When to look at a segment again that is sent at `now` for the `flow.attempts + 1`th time: the next
/// retransmission or the end of `flow.answer_limit`. Counted from `now`, so that a late sender makes no
/// burst.
[[nodiscard]] mono_time next_retransmission(const caller_flow& flow, mono_time now) noexcept;

/// Breaks a flow whose segment has waited for `flow.answer_limit`. Returns whether it did.
bool break_if_unanswered(caller_flow& flow, mono_time now) noexcept;

/// What a packet from the service's address meant to the flow.
enum class answer_verdict : std::uint8_t { opened, answered, closed, ignored, broke };

/// Checks a packet that belongs to `flow` and advances the flow. Any answer that is not whole, not from the
/// flow's host, or not to the flow's own message breaks it; `flow.cause` tells why.
[[nodiscard]] answer_verdict check_answer(caller_flow& flow, const ip_packet& packet, mono_time now);

}  // namespace guavaramp
