#include <guavaramp/platform/config_cleanup.hpp>
#include <guavaramp/platform/config_loader.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>

namespace guavaramp {
namespace {

// Bounds one run, so that loads that wait behind it are not late.
constexpr std::size_t max_removals = 20;

const std::string prefix = "guavaramp/services/";

struct value_key {
    std::string service;
    config_revision revision{0};
};

/// The parts of "guavaramp/services/NAME/REVISION".
std::optional<value_key> parse_key(const std::string& key) {
    const auto slash = key.rfind('/');
    if (!key.starts_with(prefix) || slash == std::string::npos || slash < prefix.size()) {
        return std::nullopt;
    }
    std::uint64_t revision = 0;
    const auto* last = key.data() + key.size();
    const auto parsed = std::from_chars(key.data() + slash + 1, last, revision);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return value_key{.service = key.substr(prefix.size(), slash - prefix.size()),
                     .revision = config_revision{revision}};
}

}  // namespace

std::vector<listed_key> removable_values(const std::vector<listed_key>& keys, const config_head& head,
                                         std::size_t kept) {
    std::map<std::string, std::map<config_revision, listed_key>> older;
    for (const auto& key : keys) {
        const auto parsed = parse_key(key.first);
        const auto entry = parsed ? head.services.find(parsed->service) : head.services.end();
        if (entry != head.services.end() && parsed->revision < entry->second.revision) {
            older[parsed->service].emplace(parsed->revision, key);
        }
    }
    std::vector<listed_key> removable;
    for (const auto& [service, values] : older) {
        const auto count = values.size() - std::min(kept, values.size());
        auto it = values.begin();
        for (std::size_t index = 0; index < count; ++index, ++it) {
            removable.push_back(it->second);
        }
    }
    return removable;
}

result<std::size_t> clean_up(key_value_store& store, lease_holder& holder, mono_time deadline) {
    const auto head = load_head(store, deadline);
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    if (!head->has_value()) {
        return 0;
    }
    const auto keys = store.list(prefix, deadline);
    if (!keys) {
        return tl::make_unexpected(keys.error());
    }
    std::size_t removed = 0;
    for (const auto& [key, revision] : removable_values(*keys, (*head)->head)) {
        if (removed == max_removals || !holder.acquire_or_renew()) {
            break;
        }
        const auto done = holder.remove(key, revision);
        // A conflict means that someone else deleted it first, and a lost answer is settled by the next run.
        if (!done && done.error().kind == error_kind::refused) {
            break;
        }
        removed += done ? 1 : 0;
    }
    return removed;
}

}  // namespace guavaramp
