#include <guavaramp/config/change.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

constexpr std::chrono::milliseconds retry_pause{20};
// A call whose answer is lost ends well before the whole change's deadline, so that time is left to read
// back. The platform answers in milliseconds.
constexpr std::chrono::milliseconds write_timeout{1000};

std::string number_text(config_revision revision) {
    return std::to_string(static_cast<std::uint64_t>(revision));
}

result<nlohmann::json> parse_json(const std::string& text, const std::string& key) {
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        return fail(error_kind::malformed, "the value of " + key + " in the platform is not JSON");
    }
    return parsed;
}

result<service> read_service(key_value_store& store, const std::string& key, mono_time deadline) {
    const auto stored = store.get(key, deadline);
    if (!stored) {
        return tl::make_unexpected(stored.error());
    }
    if (!*stored) {
        return fail(error_kind::unavailable, "the platform has no value of " + key);
    }
    const auto parsed = parse_json((*stored)->value, key);
    return parsed ? service_from_json(*parsed) : tl::make_unexpected(parsed.error());
}

const service* find_known(const configuration& known, const std::string& name,
                          const config_head::entry& entry) {
    const auto found = known.services.find(name);
    const bool same = found != known.services.end() && found->second.id == entry.id &&
                      found->second.revision == entry.revision;
    return same ? &found->second : nullptr;
}

struct stored_head {
    config_head head;
    std::uint64_t store_revision{0};
};

result<stored_head> read_head(key_value_store& store, mono_time deadline) {
    const auto stored = store.get(head_key, deadline);
    if (!stored) {
        return tl::make_unexpected(stored.error());
    }
    if (!*stored) {
        return stored_head{};
    }
    const auto parsed = parse_json((*stored)->value, head_key);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    auto head = head_from_json(*parsed);
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    return stored_head{.head = *std::move(head), .store_revision = (*stored)->revision};
}

bool contains_change(const config_head& head, const std::string& change_id) {
    return std::any_of(head.recent_changes.begin(), head.recent_changes.end(),
                       [&](const accepted_change& change) { return change.change_id == change_id; });
}

/// One `commit_change` in progress.
struct commit {
    key_value_store& store;
    const configuration& known;
    const change_command& command;
    change_facts facts;
    mono_time deadline;
    const commit_clock& clock;
    bool head_swap_unresolved{false};  ///< a head swap was sent whose effect is not known

    [[nodiscard]] bool time_left() const { return clock.now() + retry_pause < deadline; }
    [[nodiscard]] mono_time write_deadline() const { return std::min(deadline, clock.now() + write_timeout); }
};

enum class write_state { written, taken_by_another, unresolved };

/// Writes one service value; its key is created at most once, so a repeated attempt cannot write twice.
result<write_state> write_value(commit& work, const service& value) {
    const std::string key = service_key(value.name, value.revision);
    const std::string text = to_json(value).dump();
    const auto put = work.store.put(key, text, 0, work.write_deadline());
    if (put) {
        return write_state::written;
    }
    if (put.error().kind == error_kind::unavailable) {
        return tl::make_unexpected(put.error());
    }
    const auto stored = read_service(work.store, key, work.deadline);
    if (stored) {
        // The whole value is compared: an earlier attempt of this change may have planned other ids.
        return *stored == value ? write_state::written : write_state::taken_by_another;
    }
    return write_state::unresolved;
}

result<write_state> write_values(commit& work, const planned_change& planned) {
    for (const auto& value : planned.values) {
        auto state = write_value(work, value);
        if (!state || *state != write_state::written) {
            return state;
        }
    }
    return write_state::written;
}

/// What happened to the services of a change between the configuration it was planned on and `now`; empty
/// when they are the same.
std::string changed_services(const planned_change& planned, const config_head& base, const config_head& now) {
    std::string text;
    for (const auto& name : planned.services) {
        const auto before = base.services.find(name);
        const auto after = now.services.find(name);
        const bool same =
            (before == base.services.end() && after == now.services.end()) ||
            (before != base.services.end() && after != now.services.end() && before->second == after->second);
        if (!same) {
            text += (text.empty() ? "'" : ", '") + name + "'";
        }
    }
    if (text.empty()) {
        return text;
    }
    text += " changed at the same time:";
    for (const auto& change : now.recent_changes) {
        if (change.revision > base.revision) {
            text += " [" + number_text(change.revision) + "] " + change.summary;
        }
    }
    return text;
}

committed_change accepted(const config_head& head, const std::string& change_id) {
    for (const auto& change : head.recent_changes) {
        if (change.change_id == change_id) {
            return {.revision = change.revision, .change_id = change_id, .summary = change.summary};
        }
    }
    return {};
}

error give_up(const commit& work, const error& cause) {
    if (!work.head_swap_unresolved) {
        return cause;
    }
    return {.kind = error_kind::outcome_unknown,
            .message = "the change " + work.facts.change_id +
                       " may have been accepted; 'show changes' tells once the platform answers (" +
                       cause.message + ")"};
}

struct attempt {
    stored_head base;
    std::map<std::string, service> services;  ///< of the base
    planned_change planned;
};

/// Reads the head, plans on it and writes the service values.
result<std::optional<attempt>> prepare(commit& work) {
    auto base = read_configuration(work.store, work.known, work.deadline);
    if (!base) {
        return tl::make_unexpected(base.error());
    }
    if (base->value.head.revision < work.known.head.revision) {
        return fail(error_kind::unavailable, "the platform returned to revision " +
                                                 number_text(base->value.head.revision) + "; revision " +
                                                 number_text(work.known.head.revision) + " is in force here");
    }
    auto planned = plan_change(base->value, work.command, work.facts);
    if (!planned) {
        return tl::make_unexpected(planned.error());
    }
    const auto written = write_values(work, *planned);
    if (!written) {
        return tl::make_unexpected(written.error());
    }
    if (*written == write_state::unresolved) {
        return std::optional<attempt>{};
    }
    attempt made{.base = {.head = base->value.head, .store_revision = base->head_revision},
                 .services = std::move(base->value.services),
                 .planned = *std::move(planned)};
    if (*written == write_state::taken_by_another) {
        // The other writer either swaps the head at this revision, which the next plan sees, or has died.
        const auto now = read_head(work.store, work.deadline);
        if (!now) {
            return tl::make_unexpected(now.error());
        }
        const auto changed = changed_services(made.planned, made.base.head, now->head);
        if (!changed.empty()) {
            return fail(error_kind::conflict, changed);
        }
        work.facts.least_revision =
            config_revision{static_cast<std::uint64_t>(made.planned.head.revision) + 1};
        return std::optional<attempt>{};
    }
    return std::optional<attempt>{std::move(made)};
}

/// The configuration after the head swap of `made`.
configuration configuration_after(const attempt& made) {
    configuration out{.head = made.planned.head, .services = made.services};
    for (const auto& value : made.planned.values) {
        out.services[value.name] = value;
    }
    std::erase_if(out.services, [&](const auto& item) { return !out.head.services.contains(item.first); });
    return out;
}

/// Swaps the head. Nothing when another change came between and the whole attempt is to be repeated.
result<std::optional<committed_change>> swap_head(commit& work, const attempt& made) {
    const std::string text = to_json(made.planned.head).dump();
    while (true) {
        const auto put = work.store.put(head_key, text, made.base.store_revision, work.write_deadline());
        if (put) {
            auto change = accepted(made.planned.head, work.facts.change_id);
            change.accepted = configuration_after(made);
            return change;
        }
        const bool unsent = put.error().kind == error_kind::unavailable;
        const bool definite = unsent || put.error().kind == error_kind::conflict;
        work.head_swap_unresolved = work.head_swap_unresolved || !definite;
        const auto now = read_head(work.store, work.deadline);
        if (now && contains_change(now->head, work.facts.change_id)) {
            return accepted(now->head, work.facts.change_id);
        }
        if (now && now->store_revision != made.base.store_revision) {
            // Swaps that are still on their way fail now, because the head's revision in the store has moved.
            const auto advanced = static_cast<std::uint64_t>(now->head.revision) -
                                  static_cast<std::uint64_t>(made.base.head.revision);
            const bool forgotten = work.head_swap_unresolved && advanced >= max_recent_changes;
            if (forgotten) {
                return tl::make_unexpected(give_up(work, put.error()));
            }
            work.head_swap_unresolved = false;
            const auto changed = changed_services(made.planned, made.base.head, now->head);
            if (!changed.empty()) {
                return fail(error_kind::conflict, changed);
            }
            return std::optional<committed_change>{};
        }
        if (!work.time_left()) {
            return tl::make_unexpected(give_up(work, put.error()));
        }
        work.clock.pause(retry_pause);
    }
}

}  // namespace

result<stored_configuration> read_configuration(key_value_store& store, const configuration& known,
                                                mono_time deadline) {
    auto head = read_head(store, deadline);
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    stored_configuration out{.head_revision = head->store_revision};
    out.value.head = std::move(head->head);
    for (const auto& [name, entry] : out.value.head.services) {
        if (const service* held = find_known(known, name, entry)) {
            out.value.services.emplace(name, *held);
            continue;
        }
        auto value = read_service(store, service_key(name, entry.revision), deadline);
        if (!value) {
            return tl::make_unexpected(value.error());
        }
        out.value.services.emplace(name, *std::move(value));
    }
    return out;
}

result<committed_change> commit_change(key_value_store& store, const configuration& known,
                                       const change_command& command, change_facts facts, mono_time deadline,
                                       const commit_clock& clock) {
    commit work{.store = store,
                .known = known,
                .command = command,
                .facts = std::move(facts),
                .deadline = deadline,
                .clock = clock};
    while (true) {
        const auto made = prepare(work);
        if (!made) {
            return tl::make_unexpected(made.error());
        }
        if (*made) {
            auto swapped = swap_head(work, **made);
            if (!swapped) {
                return tl::make_unexpected(swapped.error());
            }
            if (*swapped) {
                return **std::move(swapped);
            }
        }
        if (!work.time_left()) {
            return fail(error_kind::deadline_exceeded, "the change was not accepted in time");
        }
        clock.pause(retry_pause);
    }
}

}  // namespace guavaramp
