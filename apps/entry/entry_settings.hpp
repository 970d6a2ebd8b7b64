#pragma once

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <string>
#include <vector>

namespace guavaramp {

/// Ports that every entry VM of the fleet uses.
struct fleet_ports {
    std::uint16_t packet{6080};   ///< UDP, GUE from the fabric and from hosts
    std::uint16_t relay{6081};    ///< UDP, GUE with relay header between entry VMs
    std::uint16_t control{6082};  ///< UDP, membership and configuration news between entry VMs
    std::uint16_t http{6083};     ///< HTTP for operators, callers and entry VMs

    friend bool operator==(const fleet_ports&, const fleet_ports&) = default;
};

/// Checked settings of `guavaramp-entry`.
struct entry_settings {
    ip_address address;
    std::string failure_domain;
    std::string region;
    fleet_ports ports;
    endpoint egress;                 ///< where answers to callers go, GUE
    std::string platform_url;        ///< for example "http://127.40.0.1:6090"
    std::vector<std::string> seeds;  ///< addresses of entry VMs to ask when the platform is down
    fleet_keys keys;
    std::string operator_key;
    bool open_questions{true};  ///< whether questions need no operator key
    std::size_t max_flows{1U << 20U};
    std::string log_level{"info"};
    bool admission{true};   ///< false turns admission off, for comparison in experiments
    double hedge_limit{0};  ///< share of copies of late idempotent requests, 0 to `max_request_hedge_limit`
    std::string certificate_file;
    std::string private_key_file;
};

/// Reads and checks a settings file. Errors: `not_found`, `malformed`, `invalid_argument` with a line for
/// each fault.
[[nodiscard]] result<entry_settings> load_entry_settings(const std::string& path);

}  // namespace guavaramp
