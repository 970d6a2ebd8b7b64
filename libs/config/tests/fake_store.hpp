#pragma once

#include <guavaramp/platform/key_value_store.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavaramp {

/// What a put does instead of answering.
enum class put_fault : std::uint8_t {
    none,
    lost_answer,   ///< takes effect; the answer is lost
    lost_request,  ///< has no effect; the answer is lost
    delayed        ///< the answer is lost and the write is attempted at a later call
};

/// A store in memory. `before_put` and `after_put` run around each put, for a competitor's writes in between,
/// and not around the competitor's own puts.
class fake_store final : public key_value_store {
public:
    std::function<put_fault(const std::string& key)> fault;
    std::function<void(const std::string& key)> before_put;
    std::function<void(const std::string& key)> after_put;
    bool down{false};  ///< every call fails
    std::map<std::string, stored_value> values;
    std::map<std::string, std::size_t> writes;  ///< puts that took effect, by key and value

    result<std::optional<stored_value>> get(const std::string& key, mono_time) override {
        if (down) {
            return fail(error_kind::unavailable, "down");
        }
        const auto found = values.find(key);
        auto answer = found == values.end() ? std::nullopt : std::optional{found->second};
        run_delayed();
        return answer;
    }

    result<std::uint64_t> put(const std::string& key, const std::string& value, std::uint64_t if_revision,
                              mono_time) override {
        if (down) {
            return fail(error_kind::unavailable, "down");
        }
        run_delayed();
        if (before_put) {
            auto hook = std::exchange(before_put, nullptr);
            hook(key);
            before_put = std::move(hook);
        }
        const put_fault wanted = fault ? fault(key) : put_fault::none;
        if (wanted == put_fault::lost_request) {
            return fail(error_kind::outcome_unknown, "lost");
        }
        if (wanted == put_fault::delayed) {
            delayed_.push_back(
                [this, key, value, if_revision] { static_cast<void>(write(key, value, if_revision)); });
            return fail(error_kind::outcome_unknown, "lost");
        }
        auto answer = write(key, value, if_revision);
        if (after_put) {
            auto hook = std::exchange(after_put, nullptr);
            hook(key);
            after_put = std::move(hook);
        }
        if (wanted == put_fault::lost_answer) {
            return fail(error_kind::outcome_unknown, "lost");
        }
        return answer;
    }

    result<void> remove(const std::string& key, std::uint64_t, mono_time) override {
        values.erase(key);
        return {};
    }

    result<std::optional<stored_value>> watch(const std::string&, std::uint64_t, mono_time) override {
        return std::nullopt;
    }

    result<std::vector<std::pair<std::string, std::uint64_t>>> list(const std::string&, mono_time) override {
        return std::vector<std::pair<std::string, std::uint64_t>>{};
    }

    result<std::vector<listed_vm>> vms(mono_time) override { return std::vector<listed_vm>{}; }

private:
    result<std::uint64_t> write(const std::string& key, const std::string& value, std::uint64_t if_revision) {
        auto& slot = values[key];
        if (slot.revision != if_revision) {
            return fail(error_kind::conflict, "another revision");
        }
        slot = {.value = value, .revision = ++last_revision_};
        ++writes[key + value];
        return slot.revision;
    }

    void run_delayed() {
        auto due = std::exchange(delayed_, {});
        for (const auto& attempt : due) {
            attempt();
        }
    }

    std::uint64_t last_revision_{0};
    std::vector<std::function<void()>> delayed_;
};

}  // namespace guavaramp
