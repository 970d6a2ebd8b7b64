#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/evacuation.hpp>

#include <algorithm>
#include <iterator>

namespace guavaramp {
namespace {

/// Returns those of `names` that the limits allow.
evacuation_state limited(std::uint64_t revision, const std::vector<std::string>& names) {
    evacuation_state state{.revision = revision};
    std::ranges::copy_if(names, std::inserter(state.names, state.names.end()), is_evacuation_name);
    while (state.names.size() > max_evacuated_domains) {
        state.names.erase(std::prev(state.names.end()));
        state.truncated = true;
    }
    return state;
}

evacuation_change replace(evacuation_state& state, evacuation_state next) {
    evacuation_change change;
    std::ranges::set_difference(next.names, state.names, std::back_inserter(change.begun));
    std::ranges::set_difference(state.names, next.names, std::back_inserter(change.ended));
    state = std::move(next);
    return change;
}

std::uint64_t digest_of(const domain_names& names) noexcept {
    std::uint64_t digest = 0;
    for (const auto& name : names) {
        digest = mix_hashes(digest, hash_text(name));
    }
    return digest;
}

}  // namespace

bool is_evacuation_name(std::string_view name) noexcept {
    return !name.empty() && name.size() <= max_evacuated_name_bytes;
}

std::vector<std::string> with_held_names(const held_evacuations& held, std::vector<std::string> names,
                                         mono_time now) {
    if (now < held.until) {
        std::ranges::copy_if(held.names, std::back_inserter(names), [&names](const std::string& name) {
            return std::ranges::count(names, name) == 0;
        });
        std::ranges::sort(names);
    }
    return names;
}

bool is_known(const evacuation_state& state) noexcept { return state.revision != 0; }

evacuation_change apply_evacuation_read(evacuation_state& state, std::uint64_t revision,
                                        const std::vector<std::string>& names) {
    if (revision < state.revision) {
        return {};
    }
    auto next = limited(revision, names);
    const auto ignored = names.size() - next.names.size();
    auto change = replace(state, std::move(next));
    change.ignored = ignored;
    return change;
}

evacuation_change apply_evacuation_update(evacuation_state& state, const evacuation_update& update) {
    if (!is_known(state) || update.revision < state.revision) {
        return {};
    }
    auto remaining = state.names;
    for (const auto& name : update.withdrawn) {
        remaining.erase(name);
    }
    const bool needs_full_read = state.truncated && remaining.size() < state.names.size();
    std::vector<std::string> names{remaining.begin(), remaining.end()};
    std::ranges::copy_if(update.set, std::back_inserter(names),
                         [&remaining](const std::string& name) { return !remaining.contains(name); });
    auto next = limited(update.revision, names);
    next.truncated = next.truncated || state.truncated;
    const auto ignored = names.size() - next.names.size();
    auto change = replace(state, std::move(next));
    change.ignored = ignored;
    change.needs_full_read = needs_full_read;
    return change;
}

evacuation_change apply_evacuation_report(evacuation_state& state, const evacuation_report& report) {
    if (report.revision <= state.revision) {
        return {};
    }
    if (report.names) {
        auto next = limited(report.revision, *report.names);
        // The report does not tell whether the store has more.
        next.truncated = next.names.size() == max_evacuated_domains;
        return replace(state, std::move(next));
    }
    if (is_known(state) && report.digest == digest_of(state.names)) {
        state.revision = report.revision;
    }
    return {};
}

bool lacks_reported_evacuations(const evacuation_state& state, const evacuation_report& report) {
    return report.revision > state.revision && !report.names &&
           (!is_known(state) || report.digest != digest_of(state.names));
}

bool shows_missed_evacuation(const evacuation_state& state, std::uint64_t revision,
                             const std::vector<std::string>& names, bool has_more) {
    if (revision <= state.revision) {
        return false;
    }
    const auto shown = limited(revision, names).names;
    auto known = state.names;
    if (has_more && !shown.empty()) {
        known.erase(known.upper_bound(*shown.rbegin()), known.end());
    }
    return shown != known;
}

evacuation_report make_evacuation_report(const evacuation_state& state) {
    std::size_t bytes = 0;
    for (const auto& name : state.names) {
        bytes += name.size();
    }
    if (!is_known(state)) {
        return {};
    }
    if (bytes <= max_reported_name_bytes) {
        return {.revision = state.revision,
                .names = std::vector<std::string>{state.names.begin(), state.names.end()}};
    }
    return {.revision = state.revision, .names = std::nullopt, .digest = digest_of(state.names)};
}

}  // namespace guavaramp
