#include <guavaramp/standin_platform/memory_store.hpp>

#include <algorithm>

namespace guavaramp {

std::optional<stored_value> memory_store::get(const std::string& key, mono_time now) {
    end_leases(now);
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return std::nullopt;
    }
    return found->second.stored;
}

result<std::uint64_t> memory_store::put(const std::string& key, const std::string& value,
                                        std::uint64_t if_revision, std::uint64_t lease, mono_time now) {
    end_leases(now);
    if (value.size() > max_value_bytes) {
        return fail(error_kind::invalid_argument, "the value has " + std::to_string(value.size()) +
                                                      " bytes, allowed " + std::to_string(max_value_bytes));
    }
    if (auto checked = check(key, if_revision, lease); !checked) {
        return tl::make_unexpected(checked.error());
    }
    items_[key] = {.stored = {.value = value, .revision = ++last_revision_}, .lease = lease};
    return last_revision_;
}

result<void> memory_store::remove(const std::string& key, std::uint64_t if_revision, std::uint64_t lease,
                                  mono_time now) {
    end_leases(now);
    auto checked = check(key, if_revision, lease);
    if (checked) {
        items_.erase(key);
    }
    return checked;
}

std::vector<std::pair<std::string, std::uint64_t>> memory_store::list(const std::string& prefix,
                                                                      mono_time now) {
    end_leases(now);
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it) {
        found.emplace_back(it->first, it->second.stored.revision);
    }
    return found;
}

std::uint64_t memory_store::grant_lease(std::chrono::milliseconds duration, mono_time now) {
    leases_[++last_lease_] = {.duration = duration, .deadline = now + duration};
    return last_lease_;
}

result<void> memory_store::renew_lease(std::uint64_t lease, mono_time now) {
    end_leases(now);
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return fail(error_kind::refused, "the lease has ended");
    }
    found->second.deadline = now + found->second.duration;
    return {};
}

void memory_store::end_lease(std::uint64_t lease) {
    leases_.erase(lease);
    std::erase_if(items_, [lease](const auto& entry) { return lease != 0 && entry.second.lease == lease; });
}

void memory_store::set_vm(const std::string& address, std::optional<listed_vm> vm, mono_time now) {
    vm_changes_.push_back({.at = now, .address = address, .vm = std::move(vm)});
}

std::vector<listed_vm> memory_store::vms(std::chrono::milliseconds lag, mono_time now) const {
    std::map<std::string, listed_vm> by_address;
    for (const auto& change : vm_changes_) {
        if (change.at + lag > now) {
            break;
        }
        if (change.vm) {
            by_address[change.address] = *change.vm;
        } else {
            by_address.erase(change.address);
        }
    }
    std::vector<listed_vm> listed;
    listed.reserve(by_address.size());
    for (const auto& [address, vm] : by_address) {
        listed.push_back(vm);
    }
    return listed;
}

void memory_store::end_leases(mono_time now) {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
        if (lease.deadline <= now) {
            ended.push_back(id);
        }
    }
    for (const auto id : ended) {
        end_lease(id);
    }
}

result<void> memory_store::check(const std::string& key, std::uint64_t if_revision,
                                 std::uint64_t lease) const {
    if (lease != 0 && !leases_.contains(lease)) {
        return fail(error_kind::refused, "the lease has ended");
    }
    const auto found = items_.find(key);
    const std::uint64_t revision = found == items_.end() ? 0 : found->second.stored.revision;
    if (revision != if_revision) {
        return fail(error_kind::conflict, key + " has revision " + std::to_string(revision) + ", expected " +
                                              std::to_string(if_revision));
    }
    return {};
}

}  // namespace guavaramp
