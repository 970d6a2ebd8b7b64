#include "json_fields.hpp"

#include <guavaramp/base/cbor.hpp>
#include <guavaramp/director/peers.hpp>

#include <limits>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t observation_fields = 3;

result<host_observation> read_observation(const json& value) {
    constexpr std::uint64_t max_uint32 = std::numeric_limits<std::uint32_t>::max();
    const bool is_valid = value.is_array() && value.size() == observation_fields &&
                          is_unsigned_at_most(value[0], host_observation_kind_count - 1) &&
                          is_unsigned_at_most(value[1], max_uint32) &&
                          is_unsigned_at_most(value[2], max_uint32);
    if (!is_valid) {
        return fail(
            error_kind::malformed,
            "an observation is not [kind, tag, age in milliseconds], unsigned numbers within their ranges");
    }
    return host_observation{.kind = host_observation_kind(value[0].get<std::uint8_t>()),
                            .tag = steering_tag{value[1].get<std::uint32_t>()},
                            .age_ms = value[2].get<std::uint32_t>()};
}

}  // namespace

std::vector<std::uint8_t> encode_observations(std::span<const host_observation> observations) {
    json values = json::array();
    for (const auto& observation : observations) {
        values.push_back({static_cast<std::uint32_t>(observation.kind),
                          static_cast<std::uint32_t>(observation.tag), observation.age_ms});
    }
    return json::to_cbor(values);
}

result<std::vector<host_observation>> decode_observations(std::span<const std::byte> bytes) {
    const auto value = parse_cbor(bytes);
    if (!value.is_array() || value.size() > max_observations_per_message) {
        return fail(error_kind::malformed,
                    "a message of observations is not an array, or has too many elements");
    }
    std::vector<host_observation> observations;
    for (const auto& element : value) {
        const auto observation = read_observation(element);
        if (!observation) {
            return tl::make_unexpected(observation.error());
        }
        observations.push_back(*observation);
    }
    return observations;
}

}  // namespace guavaramp
