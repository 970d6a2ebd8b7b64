#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/director/cold_hosts.hpp>
#include <guavaramp/director/mechanisms.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// Validated settings of `guavaramp-director`. Each field is named after its key in the settings file.
struct director_settings {
    std::string vm;              ///< name of this entry VM in logs and in its entry in the store
    std::string failure_domain;  ///< upstreams in the same failure domain are preferred
    endpoint packets;            ///< UDP, callers' packets; callers receive answers on the same port number
    endpoint status;             ///< HTTP, readiness checks of the platform's routers
    endpoint metrics;            ///< HTTP, metrics for operators
    endpoint admin;              ///< HTTP, requests of other directors and operators
    endpoint peers;              ///< UDP, observations about upstreams from other directors
    endpoint news;               ///< UDP, store updates relayed by other directors
    endpoint store;              ///< address of the platform's key-value store
    std::vector<endpoint> neighbours;  ///< `admin` addresses of a few other directors; may be stale
    /// Time within which an evacuation of a failure domain must be in force. Nothing about evacuations is
    /// read or sent if the platform does not state it.
    std::optional<std::chrono::milliseconds> evacuation_bound;
    /// Limits of opening packets to cold hosts; nothing unless the platform states both of them.
    std::optional<cold_limits> cold;
    std::string log_level{"info"};
    double hedge_limit{0};  ///< share of extra opening packets of a service, 0 to `max_hedge_limit`
    /// All but those that `experiments.disabled` lists. That key is refused unless the program was built with
    /// `GUAVARAMP_EXPERIMENTS`.
    mechanism_set mechanisms;
};

/// Reads and validates a settings file; `overrides` as for `settings_reader::open`. Errors: `not_found`,
/// `malformed`, `invalid_argument` with one line for each invalid setting. Thread-safe.
[[nodiscard]] result<director_settings> load_director_settings(
    const std::string& path, const std::vector<std::string>& overrides = {});

}  // namespace guavaramp
