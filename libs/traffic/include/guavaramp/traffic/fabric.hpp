#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/time.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace guavaramp {

/// The packet-spraying fabric's view of the entry VMs: each packet goes to a random entry VM of its failure
/// domain. Changes take effect at a later moment, because a real fabric's view lags. Not thread-safe.
class fabric {
public:
    /// Adds an entry VM at `when`. Adding one that is present changes nothing.
    void add(const std::string& domain, const endpoint& entry, mono_time when);

    /// Removes an entry VM from its domain at `when`.
    void remove(const endpoint& entry, mono_time when);

    /// Applies the changes that are due. Call before `choose`.
    void advance(mono_time now);

    /// A random entry VM of `domain`, or of all domains when that one has none; null when there is none at
    /// all.
    [[nodiscard]] const endpoint* choose(const std::string& domain, std::mt19937_64& random) const;

    [[nodiscard]] const std::map<std::string, std::vector<endpoint>>& domains() const noexcept {
        return domains_;
    }

private:
    struct change {
        mono_time when;
        std::string domain;  ///< empty means removal
        endpoint entry;
    };

    void apply(const change& due);

    std::map<std::string, std::vector<endpoint>> domains_;
    std::vector<change> changes_;
};

}  // namespace guavaramp
