#include "json_reading.hpp"

#include <guavaramp/director/neighbours.hpp>

#include <algorithm>

namespace guavaramp {

using nlohmann::json;

std::string encode_neighbour_answer(const neighbour_answer& answer) {
    return json{{"packets", to_string(answer.packets)},
                {"failure_domain", answer.failure_domain},
                {"others", to_json(answer.others)}}
        .dump();
}

result<neighbour_answer> decode_neighbour_answer(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    neighbour_answer answer;
    const bool complete = value.is_object() && value.contains("packets") &&
                          value.contains("failure_domain") && value.contains("others") &&
                          read_socket(value["packets"], answer.packets) &&
                          read_text(value["failure_domain"], answer.failure_domain) &&
                          read_array(value["others"], most_neighbours, answer.others, read_socket);
    if (!complete) {
        return fail(error_kind::malformed,
                    "a neighbour's answer lacks its addresses, its failure domain or its others");
    }
    return answer;
}

std::chrono::milliseconds next_neighbour_wait(std::chrono::milliseconds waited, bool found) noexcept {
    return found ? neighbour_period
                 : std::min<std::chrono::milliseconds>(
                       std::max<std::chrono::milliseconds>(waited, neighbour_period) * 2,
                       longest_neighbour_period);
}

std::optional<endpoint> choose_neighbour(std::span<const known_neighbour> neighbours,
                                         std::string_view own_failure_domain, mono_time now) {
    const known_neighbour* best = nullptr;
    const auto is_near = [own_failure_domain](const known_neighbour& neighbour) {
        return neighbour.answer.failure_domain == own_failure_domain;
    };
    for (const auto& neighbour : neighbours) {
        const bool valid =
            neighbour.answered_at != mono_time{} && now < neighbour.answered_at + neighbour_validity;
        if (valid && (best == nullptr || (is_near(neighbour) && !is_near(*best)))) {
            best = &neighbour;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->answer.packets};
}

}  // namespace guavaramp
