#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>
#include <guavaramp/config/spread.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t max_doublings = 5;
// Pulls that fail before the platform is asked instead.
constexpr std::uint32_t pulls_before_platform = 3;

const std::uint64_t watch_item = hash_text("guavaramp head watch");

bool is_live(const member& item) {
    return item.state == member_state::alive || item.state == member_state::suspect;
}

/// One call of `apply`: the state with its surroundings.
struct step {
    spread_state& state;
    mono_time now;
    std::mt19937_64& random;
    spread_effects effects;

    void run(const spread_tick&) {}
    void run(const members_changed& event) { state.members = event.members; }
    void run(const revision_heard& event);
    void run(const pull_finished& event);
    void run(const load_finished& event);
    void run(const watch_finished& event);
    void run(const change_accepted& event) { adopt(event.accepted); }
    void run(const refresh_requested&);
    void run(const spread_resumed&);

    void adopt(configuration candidate);
    void check_regression(config_revision stored);
    void pull_failed(const ip_address& from);
    void platform_failed();
    void start_due_pull();
    void start_due_load();
    void start_due_watch();
    [[nodiscard]] bool has_configuration() const;
    [[nodiscard]] bool settled() const;
    [[nodiscard]] milliseconds backoff(std::uint32_t failures);
};

bool step::has_configuration() const { return state.current.head.revision != config_revision{0}; }

bool step::settled() const { return now - state.started_at >= state.options.settle_time; }

/// Exponential backoff with jitter: between half of the delay and all of it.
milliseconds step::backoff(std::uint32_t failures) {
    const auto doublings = std::min(failures, max_doublings);
    const auto longest =
        std::min<milliseconds>(state.options.longest_retry, state.options.shortest_retry * (1U << doublings));
    return milliseconds{
        std::uniform_int_distribution<milliseconds::rep>{longest.count() / 2, longest.count()}(random)};
}

/// Applies a configuration if it is newer; an earlier or equal one changes nothing.
void step::adopt(configuration candidate) {
    if (candidate.head.revision <= state.current.head.revision) {
        return;
    }
    state.current = std::move(candidate);
    std::erase_if(state.ahead,
                  [this](const auto& entry) { return entry.second <= state.current.head.revision; });
    state.pull_everything = false;
    effects.applied = true;
}

void step::run(const revision_heard& event) {
    if (event.revision > state.current.head.revision) {
        state.ahead[event.from] = event.revision;
    }
}

void step::pull_failed(const ip_address& from) {
    state.ahead.erase(from);  // its next ping or push names it again
    state.next_pull = now + backoff(state.failures++);
}

void step::run(const pull_finished& event) {
    if (state.pulling_from != event.from) {
        return;
    }
    state.pulling_from.reset();
    if (!event.delta) {
        pull_failed(event.from);
        return;
    }
    if (event.delta->revision <= state.current.head.revision) {
        pull_failed(event.from);
        return;
    }
    // A delta from another base than the one that was asked for cannot be applied.
    const bool everything = event.delta->since == config_revision{0};
    if (!everything && event.delta->since != state.current.head.revision) {
        return;
    }
    auto candidate = apply_delta(state.current, *event.delta);
    if (!candidate) {
        state.pull_everything = true;
        if (everything) {
            pull_failed(event.from);
        }
        return;
    }
    adopt(*std::move(candidate));
    state.failures = 0;
}

void step::check_regression(config_revision stored) {
    if (stored >= state.current.head.revision) {
        state.regressed_to = config_revision{0};
    } else if (stored != state.regressed_to) {
        state.regressed_to = stored;
        effects.store_regressed = stored;
    }
}

void step::platform_failed() { state.next_platform_call = now + backoff(state.platform_failures++); }

void step::run(const load_finished& event) {
    state.loading = false;
    if (!event.loaded) {
        state.load_wanted = true;
        platform_failed();
        return;
    }
    state.platform_failures = 0;
    if (!event.loaded->has_value()) {
        check_regression(config_revision{0});
        state.next_platform_call = now + state.options.longest_retry;
        return;
    }
    check_regression((*event.loaded)->head.revision);
    adopt(**event.loaded);
}

void step::run(const watch_finished& event) {
    state.watching = false;
    if (!event.store_revision) {
        platform_failed();
        return;
    }
    state.platform_failures = 0;
    // Without a change, the next watch starts from 0 and is answered at once: this notices a store that
    // returned to an earlier state, whose revisions would never exceed the watched one.
    const auto seen = event.store_revision->value_or(0);
    state.load_wanted = state.load_wanted || (seen != 0 && seen != state.watched_revision);
    state.watched_revision = seen;
}

void step::run(const refresh_requested&) {
    state.load_wanted = true;
    state.next_platform_call = now;
}

/// Any live peer may have a later revision after a pause; a pull that brings nothing new costs 200 bytes.
void step::run(const spread_resumed&) {
    state.pulling_from.reset();
    state.next_pull = now;
    std::vector<ip_address> live;
    for (const auto& item : state.members.members) {
        if (is_live(item) && item.address != state.self) {
            live.push_back(item.address);
        }
    }
    if (!live.empty()) {
        const auto chosen = live[std::uniform_int_distribution<std::size_t>{0, live.size() - 1}(random)];
        const auto next = static_cast<std::uint64_t>(state.current.head.revision) + 1;
        state.ahead.emplace(chosen, config_revision{next});
    }
}

void step::start_due_pull() {
    if (state.pulling_from || state.ahead.empty() || now < state.next_pull) {
        return;
    }
    std::vector<ip_address> sources;
    for (const auto& [address, revision] : state.ahead) {
        sources.push_back(address);
    }
    const auto chosen = sources[std::uniform_int_distribution<std::size_t>{0, sources.size() - 1}(random)];
    state.pulling_from = chosen;
    state.pulling_since = state.pull_everything ? config_revision{0} : state.current.head.revision;
    effects.pull = start_pull{.from = chosen, .since = state.pulling_since};
}

/// Asks the platform for a reason only: a watch or an operator named a change, or there is no configuration
/// and no peer has one.
void step::start_due_load() {
    if (state.loading || now < state.next_platform_call) {
        return;
    }
    const bool peers_failed = state.ahead.empty() || state.failures >= pulls_before_platform;
    const bool starting = !has_configuration() && settled() && peers_failed && !state.pulling_from;
    if (!state.load_wanted && !starting) {
        return;
    }
    state.load_wanted = false;
    state.loading = true;
    effects.load = true;
}

void step::start_due_watch() {
    if (state.watching || !settled() || now < state.next_platform_call || !is_watcher(state)) {
        return;
    }
    state.watching = true;
    effects.watch = start_watch{.after = state.watched_revision};
}

}  // namespace

spread_state make_spread(const ip_address& self, std::string failure_domain, const spread_options& options,
                         mono_time now) {
    spread_state state;
    state.options = options;
    state.self = self;
    state.failure_domain = std::move(failure_domain);
    state.started_at = now;
    return state;
}

spread_effects apply(spread_state& state, const spread_event& event, mono_time now, std::mt19937_64& random) {
    step current{.state = state, .now = now, .random = random};
    std::visit([&current](const auto& item) { current.run(item); }, event);
    current.start_due_pull();
    current.start_due_load();
    current.start_due_watch();
    return current.effects;
}

bool is_watcher(const spread_state& state) {
    std::vector<rendezvous_node> nodes;
    std::vector<ip_address> addresses;
    for (const auto& item : state.members.members) {
        if (is_live(item) && item.failure_domain == state.failure_domain) {
            nodes.push_back({.key = rendezvous_key(item.address)});
            addresses.push_back(item.address);
        }
    }
    const auto order = rendezvous_order(nodes, watch_item, state.options.watchers_per_domain);
    return std::any_of(order.begin(), order.end(),
                       [&](std::size_t index) { return addresses[index] == state.self; });
}

}  // namespace guavaramp
