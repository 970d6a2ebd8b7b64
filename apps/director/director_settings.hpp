#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavaramp {

/// Checked settings of `guavaramp-director`.
struct director_settings {
    std::string vm;                    ///< this entry VM's name in logs
    std::string failure_domain;        ///< upstreams of the same one are preferred
    endpoint packets;                  ///< UDP, callers' packets; callers take answers at the same port
    endpoint status;                   ///< HTTP, readiness for the platform's routers
    endpoint metrics;                  ///< HTTP, metrics for operators
    endpoint admin;                    ///< HTTP, for other directors and operators
    endpoint peers;                    ///< UDP, notes between directors about upstreams
    endpoint news;                     ///< UDP, news of the store between directors
    endpoint store;                    ///< the platform's key-value store
    std::vector<endpoint> neighbours;  ///< `admin` addresses of a few directors, possibly stale
    std::string log_level{"info"};
};

/// Reads and checks a settings file. Errors: `not_found`, `malformed`, `invalid_argument` with a line for
/// each fault. Thread-safe.
[[nodiscard]] result<director_settings> load_director_settings(const std::string& path);

}  // namespace guavaramp
