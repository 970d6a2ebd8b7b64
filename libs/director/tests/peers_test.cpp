#include <guavaramp/director/peers.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

std::span<const std::byte> as_bytes(const std::vector<std::uint8_t>& values) {
    return std::as_bytes(std::span{values});
}

TEST_CASE("PeersTest.DecodesEncodedObservations") {
    check_property("round trip", [](const std::vector<std::uint32_t>& values) {
        std::vector<host_observation> observations;
        for (std::size_t index = 0; index < std::min(values.size(), max_observations_per_message); ++index) {
            observations.push_back(
                {.kind = host_observation_kind(values[index] % host_observation_kind_count),
                 .tag = steering_tag{values[index]},
                 .age_ms = values[index] / 3});
        }
        const auto read = decode_observations(as_bytes(encode_observations(observations)));
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == observations);
    });
}

TEST_CASE("PeersTest.DecodesAnyBytesToObservationsOrMalformed") {
    check_property("decoding is total", [](const std::vector<std::uint8_t>& bytes) {
        const auto read = decode_observations(as_bytes(bytes));
        RC_ASSERT((read.has_value() || read.error().kind == error_kind::malformed));
    });
}

}  // namespace
}  // namespace guavaramp
