#include <guavaramp/director/neighbours.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavaramp {

using nlohmann::json;

std::string encode_neighbour_answer(const neighbour_answer& answer) {
    json others = json::array();
    for (const auto& other : answer.others) {
        others.push_back(to_string(other));
    }
    return json{{"packets", to_string(answer.packets)},
                {"failure_domain", answer.failure_domain},
                {"others", std::move(others)}}
        .dump();
}

result<neighbour_answer> decode_neighbour_answer(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    const auto is_text = [&value](const char* name) {
        return value.is_object() && value.contains(name) && value[name].is_string();
    };
    if (!is_text("packets") || !is_text("failure_domain") || !value.contains("others") ||
        !value["others"].is_array() || value["others"].size() > most_neighbours) {
        return fail(error_kind::malformed, "a neighbour's answer lacks its address or failure domain");
    }
    const auto packets = parse_endpoint(value["packets"].get<std::string>());
    if (!packets) {
        return tl::make_unexpected(packets.error());
    }
    neighbour_answer answer{
        .packets = *packets, .failure_domain = value["failure_domain"].get<std::string>(), .others = {}};
    for (const auto& other : value["others"]) {
        const auto address = other.is_string() ? parse_endpoint(other.get<std::string>())
                                               : fail(error_kind::malformed, "an address is no text");
        if (!address) {
            return tl::make_unexpected(address.error());
        }
        answer.others.push_back(*address);
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
