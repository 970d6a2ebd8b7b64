#include <guavaramp/settings/settings_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace guavaramp {

using nlohmann::json;

struct settings_reader::state {
    std::string path;
    json root;
    std::set<std::string> requested_keys;  ///< keys that a getter asked for
    std::vector<std::string> errors;

    /// Returns the value of the dotted `key`, or null if the file does not have it, and adds `key` to
    /// `requested_keys`.
    const json* find(const std::string& key) {
        requested_keys.insert(key);
        const json* node = &root;
        std::size_t start = 0;
        while (start <= key.size()) {
            const std::size_t dot = std::min(key.find('.', start), key.size());
            const std::string part = key.substr(start, dot - start);
            if (!node->is_object() || !node->contains(part)) {
                return nullptr;
            }
            node = &(*node)[part];
            start = dot + 1;
        }
        return node;
    }

    void add_error(const std::string& key, const std::string& found, const std::string& allowed) {
        errors.push_back(path + ": " + key + ": found " + found + ", allowed " + allowed);
    }

    /// Returns the value of `key`, converted by `convert`, or `fallback` if the key is missing. `convert`
    /// returns nothing if the value is not allowed. Records an error that names `allowed` if the value is not
    /// allowed or if it is missing and there is no fallback.
    template <typename T, typename Convert>
    T read(const std::string& key, const std::optional<T>& fallback, const std::string& allowed,
           Convert convert) {
        const json* node = find(key);
        if (node == nullptr) {
            if (fallback) {
                return *fallback;
            }
            add_error(key, "nothing", allowed);
            return T{};
        }
        std::optional<T> value = convert(*node);
        if (!value) {
            add_error(key, node->dump(), allowed);
            return T{};
        }
        return *std::move(value);
    }

    /// Appends an error to `unknown_key_errors` for each member of `node` that no getter asked for, nested
    /// objects included. `prefix` is the dotted key of `node`, empty for the root.
    void collect_unknown_keys(const json& node, const std::string& prefix,
                              std::vector<std::string>& unknown_key_errors) const {
        for (const auto& [name, child] : node.items()) {
            const std::string key = prefix.empty() ? name : prefix + "." + name;
            if (requested_keys.contains(key)) {
                continue;
            }
            const bool has_requested_members = std::any_of(
                requested_keys.begin(), requested_keys.end(),
                [&key](const std::string& requested) { return requested.starts_with(key + "."); });
            if (has_requested_members && child.is_object()) {
                collect_unknown_keys(child, key, unknown_key_errors);
            } else {
                unknown_key_errors.push_back(path + ": " + key + ": found an unknown key");
            }
        }
    }
};

settings_reader::settings_reader(std::unique_ptr<state> initial_state) noexcept
    : state_(std::move(initial_state)) {}
settings_reader::settings_reader(settings_reader&&) noexcept = default;
settings_reader& settings_reader::operator=(settings_reader&&) noexcept = default;
settings_reader::~settings_reader() = default;

result<settings_reader> settings_reader::open(const std::string& path,
                                              const std::vector<std::string>& overrides) {
    std::ifstream file{path};
    if (!file) {
        return fail(error_kind::not_found, path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    auto initial_state = std::make_unique<state>();
    initial_state->path = path;
    try {
        initial_state->root = json::parse(text.str(), nullptr, true, true);
    } catch (const json::parse_error& failure) {
        return fail(error_kind::malformed, path + ": " + failure.what());
    }
    if (!initial_state->root.is_object()) {
        return fail(error_kind::malformed, path + ": found no JSON object at the top level");
    }
    for (const auto& entry : overrides) {
        const auto equals = entry.find('=');
        if (equals == std::string::npos || equals == 0) {
            return fail(error_kind::invalid_argument,
                        "--set: found \"" + entry +
                            "\", allowed KEY=VALUE with a top-level key of the settings file");
        }
        const auto value = entry.substr(equals + 1);
        if (value.empty()) {
            continue;
        }
        auto parsed = json::parse(value, nullptr, false);
        initial_state->root[entry.substr(0, equals)] =
            parsed.is_discarded() ? json(value) : std::move(parsed);
    }
    return settings_reader{std::move(initial_state)};
}

std::string settings_reader::text(const std::string& key, const std::optional<std::string>& fallback) {
    return state_->read<std::string>(key, fallback, "a string", [](const json& node) {
        return node.is_string() ? std::optional{node.get<std::string>()} : std::nullopt;
    });
}

std::int64_t settings_reader::integer(const std::string& key, std::int64_t minimum, std::int64_t maximum,
                                      std::optional<std::int64_t> fallback) {
    const std::string allowed =
        "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    return state_->read<std::int64_t>(
        key, fallback, allowed, [=](const json& node) -> std::optional<std::int64_t> {
            if (!node.is_number_integer()) {
                return std::nullopt;
            }
            constexpr auto max_value = std::numeric_limits<std::int64_t>::max();
            if (node.is_number_unsigned() && node.get<std::uint64_t>() > std::uint64_t{max_value}) {
                return std::nullopt;
            }
            const auto value = node.get<std::int64_t>();
            return value >= minimum && value <= maximum ? std::optional{value} : std::nullopt;
        });
}

double settings_reader::number(const std::string& key, double minimum, double maximum,
                               std::optional<double> fallback) {
    const std::string allowed = "a number from " + json(minimum).dump() + " to " + json(maximum).dump();
    return state_->read<double>(key, fallback, allowed, [=](const json& node) -> std::optional<double> {
        const bool is_allowed =
            node.is_number() && node.get<double>() >= minimum && node.get<double>() <= maximum;
        return is_allowed ? std::optional{node.get<double>()} : std::nullopt;
    });
}

bool settings_reader::boolean(const std::string& key, std::optional<bool> fallback) {
    return state_->read<bool>(key, fallback, "true or false", [](const json& node) {
        return node.is_boolean() ? std::optional{node.get<bool>()} : std::nullopt;
    });
}

ip_address settings_reader::address(const std::string& key, std::optional<ip_address> fallback) {
    return state_->read<ip_address>(key, fallback, "a numeric IP address",
                                    [](const json& node) -> std::optional<ip_address> {
                                        if (!node.is_string()) {
                                            return std::nullopt;
                                        }
                                        const auto parsed = parse_ip_address(node.get<std::string>());
                                        return parsed ? std::optional{*parsed} : std::nullopt;
                                    });
}

endpoint settings_reader::socket_address(const std::string& key, std::optional<endpoint> fallback) {
    return state_->read<endpoint>(key, fallback, "ADDRESS:PORT",
                                  [](const json& node) -> std::optional<endpoint> {
                                      if (!node.is_string()) {
                                          return std::nullopt;
                                      }
                                      const auto parsed = parse_endpoint(node.get<std::string>());
                                      return parsed ? std::optional{*parsed} : std::nullopt;
                                  });
}

std::vector<std::string> settings_reader::text_list(const std::string& key,
                                                    const std::optional<std::vector<std::string>>& fallback) {
    using list = std::vector<std::string>;
    return state_->read<list>(
        key, fallback, "a list of strings", [](const json& node) -> std::optional<list> {
            const bool holds_only_strings =
                node.is_array() &&
                std::all_of(node.begin(), node.end(), [](const json& item) { return item.is_string(); });
            return holds_only_strings ? std::optional{node.get<list>()} : std::nullopt;
        });
}

std::string settings_reader::choice(const std::string& key, const std::vector<std::string>& allowed,
                                    const std::optional<std::string>& fallback) {
    std::string names;
    for (const auto& name : allowed) {
        names += names.empty() ? name : ", " + name;
    }
    return state_->read<std::string>(
        key, fallback, "one of " + names, [&allowed](const json& node) -> std::optional<std::string> {
            if (!node.is_string()) {
                return std::nullopt;
            }
            const auto value = node.get<std::string>();
            const bool is_allowed = std::find(allowed.begin(), allowed.end(), value) != allowed.end();
            return is_allowed ? std::optional{value} : std::nullopt;
        });
}

result<void> settings_reader::finish() const {
    std::vector<std::string> errors = state_->errors;
    state_->collect_unknown_keys(state_->root, "", errors);
    if (errors.empty()) {
        return {};
    }
    std::string message;
    for (const auto& line : errors) {
        message += message.empty() ? line : "\n" + line;
    }
    return fail(error_kind::invalid_argument, message);
}

}  // namespace guavaramp
