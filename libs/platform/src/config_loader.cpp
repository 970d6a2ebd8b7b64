#include <guavaramp/platform/config_loader.hpp>

#include <nlohmann/json.hpp>

namespace guavaramp {
namespace {

result<service> load_service(key_value_store& store, const std::string& name, config_revision revision,
                             mono_time deadline) {
    const auto key = service_key(name, revision);
    const auto stored = store.get(key, deadline);
    if (!stored) {
        return tl::make_unexpected(stored.error());
    }
    if (!stored->has_value()) {
        return fail(error_kind::not_found, key + " is missing in the platform");
    }
    auto decoded = service_from_json(nlohmann::json::parse((*stored)->value, nullptr, false));
    if (decoded && (decoded->name != name || decoded->revision != revision)) {
        return fail(error_kind::malformed, key + " holds a value of another service or revision");
    }
    return decoded;
}

}  // namespace

result<std::optional<stored_head>> load_head(key_value_store& store, mono_time deadline) {
    const auto stored = store.get(head_key, deadline);
    if (!stored) {
        return tl::make_unexpected(stored.error());
    }
    if (!stored->has_value()) {
        return std::nullopt;
    }
    auto head = head_from_json(nlohmann::json::parse((*stored)->value, nullptr, false));
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    return stored_head{.head = *std::move(head), .store_revision = (*stored)->revision};
}

result<configuration> load_configuration(key_value_store& store, const config_head& head,
                                         const configuration& known, mono_time deadline) {
    configuration loaded{.head = head};
    for (const auto& [name, entry] : head.services) {
        const auto present = known.services.find(name);
        if (present != known.services.end() && present->second.revision == entry.revision) {
            loaded.services.emplace(name, present->second);
            continue;
        }
        auto value = load_service(store, name, entry.revision, deadline);
        if (!value) {
            return tl::make_unexpected(value.error());
        }
        loaded.services.emplace(name, *std::move(value));
    }
    return loaded;
}

}  // namespace guavaramp
