#include <guavaramp/traffic/fabric.hpp>

#include <algorithm>

namespace guavaramp {

void fabric::add(const std::string& domain, const endpoint& entry, mono_time when) {
    domains_.try_emplace(domain);
    changes_.push_back({.when = when, .domain = domain, .entry = entry});
}

void fabric::remove(const endpoint& entry, mono_time when) {
    changes_.push_back({.when = when, .domain = {}, .entry = entry});
}

void fabric::advance(mono_time now) {
    if (changes_.empty()) {
        return;
    }
    std::ranges::stable_sort(changes_, {}, &change::when);
    const auto later = std::ranges::find_if(changes_, [now](const change& item) { return item.when > now; });
    std::for_each(changes_.begin(), later, [this](const change& due) { apply(due); });
    changes_.erase(changes_.begin(), later);
}

void fabric::apply(const change& due) {
    if (due.domain.empty()) {
        for (auto& [domain, entries] : domains_) {
            std::erase(entries, due.entry);
        }
        return;
    }
    auto& entries = domains_[due.domain];
    if (std::ranges::find(entries, due.entry) == entries.end()) {
        entries.push_back(due.entry);
    }
}

const endpoint* fabric::choose(const std::string& domain, std::mt19937_64& random) const {
    const auto own = domains_.find(domain);
    if (own != domains_.end() && !own->second.empty()) {
        return &own->second[random() % own->second.size()];
    }
    std::vector<const endpoint*> others;
    for (const auto& [name, entries] : domains_) {
        for (const auto& entry : entries) {
            others.push_back(&entry);
        }
    }
    return others.empty() ? nullptr : others[random() % others.size()];
}

}  // namespace guavaramp
