#include <guavaramp/base/address.hpp>
#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/flow_packet.hpp>

namespace guavaramp {

std::uint64_t hash_of(const flow_tuple& flow) noexcept {
    const std::uint64_t caller = (std::uint64_t{flow.caller_address} << 16U) | flow.caller_port;
    const std::uint64_t service = (std::uint64_t{flow.service_address} << 16U) | flow.service_port;
    return mix_hashes(caller, service);
}

std::string to_string(const flow_tuple& flow) {
    const endpoint caller{.address = from_ipv4(flow.caller_address), .port = flow.caller_port};
    const endpoint service{.address = from_ipv4(flow.service_address), .port = flow.service_port};
    return to_string(caller) + ">" + to_string(service);
}

}  // namespace guavaramp
