#include "json_fields.hpp"

#include <guavaramp/director/neighbours.hpp>

#include <algorithm>

namespace guavaramp {

using nlohmann::json;

std::string encode_neighbour_answer(const neighbour_answer& answer) {
    return json{{"packets", to_string(answer.packet_address)},
                {"failure_domain", answer.failure_domain},
                {"others", to_json(answer.domain_admin_addresses)}}
        .dump();
}

result<neighbour_answer> decode_neighbour_answer(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    neighbour_answer answer;
    const bool is_complete =
        value.is_object() && value.contains("packets") && value.contains("failure_domain") &&
        value.contains("others") && read_socket(value["packets"], answer.packet_address) &&
        read_text(value["failure_domain"], answer.failure_domain) &&
        read_array(value["others"], max_neighbours, answer.domain_admin_addresses, read_socket);
    if (!is_complete) {
        return fail(
            error_kind::malformed,
            "the packets, failure_domain or others of a neighbour's answer are missing or cannot be read");
    }
    return answer;
}

std::chrono::milliseconds next_neighbour_poll_wait(std::chrono::milliseconds waited, bool found) noexcept {
    return found ? neighbour_poll_period
                 : std::min<std::chrono::milliseconds>(
                       std::max<std::chrono::milliseconds>(waited, neighbour_poll_period) * 2,
                       max_neighbour_poll_period);
}

std::optional<endpoint> choose_neighbour(std::span<const known_neighbour> neighbours,
                                         std::string_view own_failure_domain, mono_time now) {
    const known_neighbour* best = nullptr;
    const auto is_in_own_domain = [own_failure_domain](const known_neighbour& neighbour) {
        return neighbour.answer.failure_domain == own_failure_domain;
    };
    for (const auto& neighbour : neighbours) {
        const bool is_valid =
            neighbour.answered_at != mono_time{} && now < neighbour.answered_at + neighbour_answer_validity;
        if (is_valid && (best == nullptr || (is_in_own_domain(neighbour) && !is_in_own_domain(*best)))) {
            best = &neighbour;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->answer.packet_address};
}

}  // namespace guavaramp
