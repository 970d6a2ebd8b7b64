#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/ids.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace guavaramp {

enum class member_state : std::uint8_t {
    alive,
    suspect,  ///< missed a ping; still used as owner until declared dead
    leaving,  ///< planned stop: forwards what it gets, owns nothing new
    dead
};

/// An entry VM as the local daemon sees it. Its address is its identity.
struct member {
    ip_address address;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation{0};  ///< start time in Unix milliseconds, raised to refute a suspicion
    member_state state{member_state::alive};
    config_revision revision{0};  ///< last configuration revision that it reported in force

    friend bool operator==(const member&, const member&) = default;
};

/// All entry VMs that the local daemon knows, itself included, sorted by address.
struct member_list {
    std::vector<member> members;

    friend bool operator==(const member_list&, const member_list&) = default;
};

}  // namespace guavaramp
