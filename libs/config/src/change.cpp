#include <guavaramp/base/nearest_word.hpp>
#include <guavaramp/base/overloaded.hpp>
#include <guavaramp/config/change.hpp>

#include <algorithm>
#include <ctime>
#include <set>
#include <utility>

namespace guavaramp {
namespace {

constexpr std::size_t longest_name = 63;

std::string quoted(const std::string& text) { return "'" + text + "'"; }

std::string full_name(const upstream_name& target) { return target.service + "/" + target.name; }

std::string time_text(wall_time time) {
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::string text(32, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts));
    const auto milliseconds = std::to_string(1000 + ((to_unix_ms(time) % 1000) + 1000) % 1000);
    return text + "." + milliseconds.substr(1) + "Z";
}

bool is_name(const std::string& text) {
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' ||
               letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= longest_name && std::all_of(text.begin(), text.end(), allowed) &&
           text.front() != '-' && text.front() != '.';
}

result<void> check_name(const std::string& name) {
    if (is_name(name)) {
        return {};
    }
    return fail(error_kind::invalid_argument,
                quoted(name) + " is not a name; allowed: 1 to 63 of a-z, 0-9, '-', '_', '.'");
}

/// Failure domains come from the platform's VM list, so any printable name is allowed.
result<void> check_failure_domain(const std::string& target, const std::string& domain) {
    const bool printable =
        std::all_of(domain.begin(), domain.end(), [](char letter) { return letter > ' ' && letter < 0x7f; });
    if (printable && domain.size() <= longest_name) {
        return {};
    }
    return fail(error_kind::invalid_argument,
                quoted(target) + ": the failure domain is not 63 or fewer printable ASCII characters");
}

result<void> check_weight(const std::string& name, std::uint32_t weight) {
    if (weight >= least_weight && weight <= most_weight) {
        return {};
    }
    return fail(error_kind::invalid_argument, quoted(name) + ": weight " + std::to_string(weight) +
                                                  " is out of range; allowed: 1 to 10000");
}

/// A change in the making: a copy of the configuration and the names of the services it touches.
struct draft {
    configuration value;
    const change_facts& facts;
    std::set<std::string> touched;
};

result<service*> find_service(draft& plan, const std::string& name) {
    plan.touched.insert(name);
    const auto found = plan.value.services.find(name);
    if (found != plan.value.services.end()) {
        return &found->second;
    }
    std::vector<std::string> names;
    for (const auto& [known, unused] : plan.value.services) {
        names.push_back(known);
    }
    return fail(error_kind::not_found, quoted(name) + ": no such service" + nearest_word_hint(name, names));
}

upstream* find_current(service& owner, const std::string& name) {
    const auto found = std::find_if(
        owner.upstreams.begin(), owner.upstreams.end(),
        [&](const upstream& host) { return host.name == name && host.state != upstream_state::retired; });
    return found == owner.upstreams.end() ? nullptr : &*found;
}

struct found_upstream {
    service* owner{nullptr};
    upstream* host{nullptr};
};

result<found_upstream> find_upstream(draft& plan, const upstream_name& target) {
    const auto owner = find_service(plan, target.service);
    if (!owner) {
        return tl::make_unexpected(owner.error());
    }
    if (upstream* host = find_current(**owner, target.name)) {
        return found_upstream{.owner = *owner, .host = host};
    }
    std::vector<std::string> names;
    bool retired = false;
    for (const auto& host : (*owner)->upstreams) {
        if (host.state == upstream_state::retired) {
            retired = retired || host.name == target.name;
        } else {
            names.push_back(host.name);
        }
    }
    if (retired) {
        return fail(error_kind::refused, quoted(full_name(target)) + " was removed; add it again");
    }
    return fail(error_kind::not_found, quoted(full_name(target)) + ": service " + target.service +
                                           " has no such upstream" + nearest_word_hint(target.name, names));
}

/// Whether an upstream other than `leaving` takes new flows and has no planned drain.
bool has_other_active(const service& owner, const upstream& leaving) {
    return std::any_of(owner.upstreams.begin(), owner.upstreams.end(), [&](const upstream& host) {
        return host.id != leaving.id && host.state == upstream_state::active && !host.drain_at;
    });
}

result<void> check_active_remains(const service& owner, const upstream& leaving) {
    if (has_other_active(owner, leaving)) {
        return {};
    }
    return fail(error_kind::refused, quoted(owner.name + "/" + leaving.name) +
                                         " is the last active upstream without a planned drain of service " +
                                         owner.name);
}

/// Entry VMs of the VM list that have not reported `revision`, as text; empty when all have.
std::string entries_behind(const change_facts& facts, config_revision revision) {
    std::string behind;
    for (const auto& entry : facts.entries) {
        if (entry.revision < revision) {
            behind += (behind.empty() ? "" : ", ") + entry.entry;
        }
    }
    return behind;
}

/// Checks that a retired upstream's address may be given to another service.
result<void> check_reuse(const draft& plan, const service& former, const upstream& retired,
                         const std::string& target) {
    const std::string address = to_string(retired.packet_address.address);
    const auto free_at = retired.retired_at.value_or(plan.facts.now) + address_reuse_delay;
    if (plan.facts.now < free_at) {
        return fail(error_kind::refused, quoted(target) + ": address " + address +
                                             " was removed from service " + former.name +
                                             " and is free from " + time_text(free_at));
    }
    // The value's revision is at or after the removal's, which is not stored.
    if (const auto behind = entries_behind(plan.facts, former.revision); !behind.empty()) {
        return fail(error_kind::refused, quoted(target) + ": address " + address +
                                             " was removed from service " + former.name +
                                             ", and these entry VMs have not reported it: " + behind);
    }
    return {};
}

/// A host may serve several services behind one packet address, with a request address for each; within one
/// service both are unique. An address that another service has given up is also checked for reuse: an entry
/// VM that has not heard of the removal still sends the former service's packets there.
result<void> check_upstream_address(const draft& plan, const service& owner, const upstream& added) {
    const std::string target = owner.name + "/" + added.name;
    for (const auto& [name, other] : plan.value.services) {
        const bool same_service = name == owner.name;
        for (const auto& host : other.upstreams) {
            const bool same_request = host.request_address == added.request_address;
            const bool same_packet = host.packet_address == added.packet_address;
            const bool retired = host.state == upstream_state::retired;
            if (!retired && (same_request || (same_packet && same_service))) {
                return fail(error_kind::refused,
                            quoted(target) + ": address " +
                                to_string(same_request ? added.request_address : added.packet_address) +
                                " belongs to " + name + "/" + host.name);
            }
            if (retired && !same_service && (same_request || same_packet)) {
                if (auto reusable = check_reuse(plan, other, host, target); !reusable) {
                    return reusable;
                }
            }
        }
    }
    return {};
}

result<void> check_service_address(const draft& plan, const service& added) {
    for (const auto& [name, other] : plan.value.services) {
        if (name != added.name && other.address == added.address && other.protocol == added.protocol) {
            return fail(error_kind::refused, quoted(added.name) + ": address " + to_string(added.address) +
                                                 " " + to_string(added.protocol) + " belongs to service " +
                                                 name);
        }
        for (const auto& host : other.upstreams) {
            if (host.request_address == added.address) {
                return fail(error_kind::refused, quoted(added.name) + ": address " +
                                                     to_string(added.address) +
                                                     " is the request address of " + name + "/" + host.name);
            }
        }
    }
    return {};
}

result<void> apply(draft& plan, const add_service_change& change) {
    if (auto valid = check_name(change.name); !valid) {
        return valid;
    }
    plan.touched.insert(change.name);
    if (plan.value.services.contains(change.name)) {
        return fail(error_kind::refused, quoted(change.name) + ": the service exists already");
    }
    if (change.address.port == 0) {
        return fail(error_kind::invalid_argument, quoted(change.name) + ": port 0 is out of range");
    }
    service added{.id = service_id{plan.value.head.next_service_id},
                  .name = change.name,
                  .address = change.address,
                  .protocol = change.protocol,
                  .urgency = change.urgency};
    if (auto free = check_service_address(plan, added); !free) {
        return free;
    }
    ++plan.value.head.next_service_id;
    plan.value.services.emplace(change.name, std::move(added));
    return {};
}

void retire(upstream& host, wall_time now) {
    host.state = upstream_state::retired;
    host.drain_at.reset();
    host.retired_at = now;
}

result<void> drop_service(draft& plan, const service& owner) {
    wall_time free_at{};
    for (const auto& host : owner.upstreams) {
        free_at = std::max(free_at, host.retired_at.value_or(plan.facts.now) + upstream_retention);
    }
    if (!owner.upstreams.empty() && plan.facts.now < free_at) {
        return fail(error_kind::refused, quoted(owner.name) +
                                             " is removed already; its open flows go on and its name and "
                                             "address can be freed from " +
                                             time_text(free_at));
    }
    // An entry VM that still had active upstreams for this address could send another service's packets
    // there.
    if (const auto behind = entries_behind(plan.facts, owner.revision); !behind.empty()) {
        return fail(error_kind::refused, quoted(owner.name) +
                                             " cannot be freed before these entry VMs report " +
                                             "its last change: " + behind);
    }
    plan.value.services.erase(owner.name);
    return {};
}

result<void> apply(draft& plan, const remove_service_change& change) {
    const auto owner = find_service(plan, change.name);
    if (!owner) {
        return tl::make_unexpected(owner.error());
    }
    bool retired_any = false;
    for (auto& host : (*owner)->upstreams) {
        if (host.state != upstream_state::retired) {
            retire(host, plan.facts.now);
            retired_any = true;
        }
    }
    if (retired_any) {
        return {};
    }
    return drop_service(plan, service{**owner});
}

result<void> apply(draft& plan, const add_upstream_change& change) {
    const auto owner = find_service(plan, change.target.service);
    if (!owner) {
        return tl::make_unexpected(owner.error());
    }
    if (auto valid = check_name(change.target.name); !valid) {
        return valid;
    }
    if (auto valid = check_weight(full_name(change.target), change.weight); !valid) {
        return valid;
    }
    if (auto valid = check_failure_domain(full_name(change.target), change.failure_domain); !valid) {
        return valid;
    }
    if (find_current(**owner, change.target.name) != nullptr) {
        return fail(error_kind::refused, quoted(full_name(change.target)) + ": the upstream exists already");
    }
    if (change.packet_address.port == 0 || change.request_address.port == 0) {
        return fail(error_kind::invalid_argument,
                    quoted(full_name(change.target)) + ": port 0 is out of range");
    }
    upstream added{.id = upstream_id{plan.value.head.next_upstream_id},
                   .name = change.target.name,
                   .packet_address = change.packet_address,
                   .request_address = change.request_address,
                   .failure_domain = change.failure_domain,
                   .weight = change.weight};
    if (auto free = check_upstream_address(plan, **owner, added); !free) {
        return free;
    }
    ++plan.value.head.next_upstream_id;
    (*owner)->upstreams.push_back(std::move(added));
    return {};
}

result<void> apply(draft& plan, const remove_upstream_change& change) {
    const auto found = find_upstream(plan, change.target);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    if (auto remains = check_active_remains(*found->owner, *found->host); !remains) {
        return remains;
    }
    retire(*found->host, plan.facts.now);
    return {};
}

result<void> apply(draft& plan, const drain_change& change) {
    const auto found = find_upstream(plan, change.target);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    upstream& host = *found->host;
    const bool due = !change.at || *change.at <= plan.facts.now;
    if (state_at(host, plan.facts.now) == upstream_state::draining) {
        return fail(error_kind::refused, quoted(full_name(change.target)) + " is draining already");
    }
    if (auto remains = check_active_remains(*found->owner, host); !remains) {
        return remains;
    }
    if (due) {
        host.state = upstream_state::draining;
        host.drain_at.reset();
    } else {
        host.drain_at = change.at;
    }
    return {};
}

result<void> apply(draft& plan, const undrain_change& change) {
    const auto found = find_upstream(plan, change.target);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    found->host->state = upstream_state::active;
    found->host->drain_at.reset();
    return {};
}

result<void> apply(draft& plan, const set_weight_change& change) {
    const auto found = find_upstream(plan, change.target);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    if (auto valid = check_weight(full_name(change.target), change.weight); !valid) {
        return valid;
    }
    found->host->weight = change.weight;
    return {};
}

result<void> apply(draft& plan, const set_class_change& change) {
    const auto owner = find_service(plan, change.service);
    if (!owner) {
        return tl::make_unexpected(owner.error());
    }
    (*owner)->urgency = change.urgency;
    return {};
}

result<void> load_upstream(draft& plan, const std::string& service_name, const upstream& given) {
    const upstream* existing = find_current(plan.value.services.at(service_name), given.name);
    const upstream_name target{.service = service_name, .name = given.name};
    if (existing == nullptr) {
        return apply(plan, add_upstream_change{.target = target,
                                               .packet_address = given.packet_address,
                                               .request_address = given.request_address,
                                               .failure_domain = given.failure_domain,
                                               .weight = given.weight});
    }
    if (existing->packet_address != given.packet_address ||
        existing->request_address != given.request_address) {
        return fail(error_kind::refused, quoted(full_name(target)) +
                                             " has other addresses; remove it and add it under another name");
    }
    return apply(plan, set_weight_change{.target = target, .weight = given.weight});
}

result<void> load_service(draft& plan, const service& given) {
    const auto existing = plan.value.services.find(given.name);
    result<void> step;
    if (existing == plan.value.services.end()) {
        step = apply(plan, add_service_change{.name = given.name,
                                              .address = given.address,
                                              .protocol = given.protocol,
                                              .urgency = given.urgency});
    } else if (existing->second.address != given.address || existing->second.protocol != given.protocol) {
        return fail(error_kind::refused, quoted(given.name) + " has another address");
    } else {
        step = apply(plan, set_class_change{.service = given.name, .urgency = given.urgency});
    }
    for (const auto& host : given.upstreams) {
        if (!step) {
            return step;
        }
        step = load_upstream(plan, given.name, host);
    }
    return step;
}

result<void> apply(draft& plan, const load_change& change) {
    for (const auto& given : change.services) {
        if (auto step = load_service(plan, given); !step) {
            return step;
        }
    }
    return {};
}

/// Drops upstreams whose retention has ended and whose removal every entry VM has reported.
void prune_retired(service& value, const change_facts& facts) {
    const bool known = !facts.entries.empty() && entries_behind(facts, value.revision).empty();
    if (!known) {
        return;
    }
    std::erase_if(value.upstreams, [&](const upstream& host) {
        return host.retired_at && *host.retired_at + upstream_retention <= facts.now;
    });
}

void remember(config_head& head, accepted_change change) {
    head.recent_changes.push_back(std::move(change));
    if (head.recent_changes.size() > max_recent_changes) {
        head.recent_changes.erase(head.recent_changes.begin());
    }
}

planned_change finish(draft plan, const configuration& base, const std::string& summary) {
    const config_revision next{static_cast<std::uint64_t>(base.head.revision) + 1};
    planned_change planned{.head = plan.value.head, .summary = summary};
    planned.head.revision = std::max(next, plan.facts.least_revision);
    for (const auto& name : plan.touched) {
        planned.services.push_back(name);
        const auto found = plan.value.services.find(name);
        if (found == plan.value.services.end()) {
            planned.head.services.erase(name);
            continue;
        }
        const auto before = base.services.find(name);
        if (before != base.services.end() && before->second == found->second) {
            continue;
        }
        service value = std::move(found->second);
        prune_retired(value, plan.facts);
        value.revision = planned.head.revision;
        value.change_id = plan.facts.change_id;
        planned.head.services[name] = {.id = value.id, .revision = value.revision};
        planned.values.push_back(std::move(value));
    }
    remember(planned.head, {.revision = planned.head.revision,
                            .change_id = plan.facts.change_id,
                            .summary = planned.summary,
                            .accepted_at = plan.facts.now});
    return planned;
}

}  // namespace

std::string to_string(const change_command& command) {
    return std::visit(
        overloaded{
            [](const add_service_change& change) {
                return "add service " + change.name + " address " + to_string(change.address) + " " +
                       to_string(change.protocol) + " class " + to_string(change.urgency);
            },
            [](const remove_service_change& change) { return "remove service " + change.name; },
            [](const add_upstream_change& change) {
                std::string text = "add upstream " + full_name(change.target) + " address " +
                                   to_string(change.packet_address) + " request " +
                                   to_string(change.request_address);
                text += change.failure_domain.empty() ? "" : " domain " + change.failure_domain;
                return text + " weight " + std::to_string(change.weight);
            },
            [](const remove_upstream_change& change) {
                return "remove upstream " + full_name(change.target);
            },
            [](const drain_change& change) {
                const std::string text = "drain upstream " + full_name(change.target);
                return change.at ? text + " at " + time_text(*change.at) : text;
            },
            [](const undrain_change& change) { return "undrain upstream " + full_name(change.target); },
            [](const set_weight_change& change) {
                return "set weight " + full_name(change.target) + " " + std::to_string(change.weight);
            },
            [](const set_class_change& change) {
                return "set class " + change.service + " " + to_string(change.urgency);
            },
            [](const load_change& change) {
                return "load configuration of " + std::to_string(change.services.size()) + " services";
            },
        },
        command);
}

bool needs_entries(const change_command& command) noexcept {
    return std::holds_alternative<add_upstream_change>(command) ||
           std::holds_alternative<remove_service_change>(command) ||
           std::holds_alternative<load_change>(command);
}

result<planned_change> plan_change(const configuration& base, const change_command& command,
                                   const change_facts& facts) {
    draft plan{.value = base, .facts = facts};
    const auto applied = std::visit([&plan](const auto& change) { return apply(plan, change); }, command);
    if (!applied) {
        return tl::make_unexpected(applied.error());
    }
    if (plan.value == base) {
        return fail(error_kind::refused,
                    "nothing to change: '" + to_string(command) + "' is in place already");
    }
    return finish(std::move(plan), base, to_string(command));
}

}  // namespace guavaramp
