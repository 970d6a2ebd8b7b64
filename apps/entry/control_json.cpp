#include "control_json.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace guavaramp {
namespace {

constexpr int status_ok = 200;

std::string to_hex(const authentication_tag& tag) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : tag) {
        text += digits[static_cast<std::size_t>(byte) >> 4U];
        text += digits[static_cast<std::size_t>(byte) & 15U];
    }
    return text;
}

std::optional<authentication_tag> from_hex(std::string_view text) {
    authentication_tag tag{};
    if (text.size() != 2 * tag.size()) {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < tag.size(); ++index) {
        std::uint8_t value = 0;
        const auto* first = text.data() + 2 * index;
        const auto parsed = std::from_chars(first, first + 2, value, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != first + 2) {
            return std::nullopt;
        }
        tag[index] = static_cast<std::byte>(value);
    }
    return tag;
}

}  // namespace

result<entry_faults> parse_entry_faults(const std::string& body) {
    entry_faults faults;
    try {
        const auto object = nlohmann::json::parse(body);
        faults.pause_ms = object.value("pause_ms", std::int64_t{0});
        if (object.contains("blocked_peers")) {
            faults.blocked_peers.emplace();
            for (const auto& text : object.at("blocked_peers")) {
                const auto address = parse_ip_address(text.get<std::string>());
                if (!address) {
                    return tl::make_unexpected(address.error());
                }
                faults.blocked_peers->insert(*address);
            }
        }
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_kind::malformed, failure.what());
    }
    return faults;
}

nlohmann::json members_to_json(const ip_address& self, const member_list& list) {
    constexpr std::array names{"alive", "suspect", "leaving", "dead"};
    auto members = nlohmann::json::array();
    for (const auto& item : list.members) {
        members.push_back({{"address", to_string(item.address)},
                           {"failure_domain", item.failure_domain},
                           {"region", item.region},
                           {"incarnation", item.incarnation},
                           {"state", names[static_cast<std::size_t>(item.state)]},
                           {"revision", static_cast<std::uint64_t>(item.revision)}});
    }
    return {{"self", to_string(self)}, {"members", std::move(members)}};
}

result<config_revision> parse_since(const http_request& request) {
    const auto found = request.query.find("since");
    if (found == request.query.end()) {
        return config_revision{0};
    }
    std::uint64_t value = 0;
    const auto& text = found->second;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return fail(error_kind::malformed, "since: found '" + text + "', allowed a revision");
    }
    return config_revision{value};
}

std::string sign_pull(const fleet_keys& keys, const std::string& payload) {
    return to_hex(compute_authentication_tag(keys, {std::as_bytes(std::span{payload})})) + "\n" + payload;
}

result<config_delta> open_pull(const fleet_keys& keys, const http_outcome& outcome) {
    if (!outcome.response) {
        return tl::make_unexpected(outcome.response.error());
    }
    const std::string_view body{outcome.response->body};
    const auto line = body.find('\n');
    if (outcome.response->status != status_ok || line == std::string_view::npos) {
        return fail(error_kind::unavailable, "the peer answered " + std::to_string(outcome.response->status));
    }
    const auto tag = from_hex(body.substr(0, line));
    const auto payload = body.substr(line + 1);
    if (!tag || !verify_authentication_tag(keys, *tag, {std::as_bytes(std::span{payload})})) {
        return fail(error_kind::unauthenticated, "the tag of the peer's configuration does not match");
    }
    return delta_from_json(nlohmann::json::parse(payload, nullptr, false));
}

}  // namespace guavaramp
