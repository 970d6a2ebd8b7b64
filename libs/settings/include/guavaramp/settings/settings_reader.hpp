#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// Reads a settings file (JSON with comments) key by key and collects all errors, so that an operator sees
/// every one of them at once. A key in the file that no getter asked for is an error too. Not thread-safe.
class settings_reader {
public:
    /// Opens and parses the file at `path`. Errors: `not_found` if it cannot be read; `malformed`, with file
    /// and position, if it holds no JSON object.
    /// `overrides` are texts KEY=VALUE that go before the file. KEY is a top-level key; VALUE is JSON, or a
    /// string if it is not; an empty VALUE leaves the key as it is in the file. Errors: also
    /// `invalid_argument` for a text without KEY=.
    [[nodiscard]] static result<settings_reader> open(const std::string& path,
                                                      const std::vector<std::string>& overrides = {});

    settings_reader(settings_reader&&) noexcept;
    settings_reader& operator=(settings_reader&&) noexcept;
    ~settings_reader();

    /// Each getter returns the value of a key such as "ports.packet", where a dot separates an object from
    /// its member. If the key is missing, the getter returns `fallback`, or records an error if there is no
    /// fallback. If the value has the wrong type or is not allowed, it records an error. A getter that
    /// records an error returns a default-constructed value.
    std::string text(const std::string& key, const std::optional<std::string>& fallback = std::nullopt);
    std::int64_t integer(const std::string& key, std::int64_t minimum, std::int64_t maximum,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(const std::string& key, double minimum, double maximum,
                  std::optional<double> fallback = std::nullopt);
    bool boolean(const std::string& key, std::optional<bool> fallback = std::nullopt);
    ip_address address(const std::string& key, std::optional<ip_address> fallback = std::nullopt);
    endpoint socket_address(const std::string& key, std::optional<endpoint> fallback = std::nullopt);
    std::vector<std::string> text_list(
        const std::string& key, const std::optional<std::vector<std::string>>& fallback = std::nullopt);
    std::string choice(const std::string& key, const std::vector<std::string>& allowed,
                       const std::optional<std::string>& fallback = std::nullopt);

    /// Returns `invalid_argument` with one line for each error ("FILE: KEY: found X, allowed Y") and for each
    /// unknown key, if there are any. Call it after all getters.
    [[nodiscard]] result<void> finish() const;

private:
    struct state;
    explicit settings_reader(std::unique_ptr<state> initial_state) noexcept;
    std::unique_ptr<state> state_;
};

}  // namespace guavaramp
