#include "platform_duty.hpp"

#include <guavaramp/platform/config_loader.hpp>

namespace guavaramp {
namespace {

constexpr std::size_t ring_capacity = 16;
constexpr auto poll_period = std::chrono::milliseconds{10};
constexpr auto call_timeout = std::chrono::seconds{3};
// A design size of 1,600 services is loaded at the call budget's rate when no peer has them.
constexpr auto load_timeout = std::chrono::seconds{90};
constexpr auto watch_time = std::chrono::seconds{25};

mono_time clock_now() { return std::chrono::steady_clock::now(); }

}  // namespace

platform_duty::platform_duty(key_value_store& store, const std::atomic<bool>& stopped)
    : store_(store),
      stopped_(stopped),
      watch_jobs_(ring_capacity),
      load_jobs_(ring_capacity),
      watch_answers_(ring_capacity),
      load_answers_(ring_capacity),
      watch_thread_([this] { run_watches(); }),
      load_thread_([this] { run_loads(); }) {}

platform_duty::~platform_duty() {
    watch_thread_.join();
    load_thread_.join();
}

void platform_duty::watch(std::uint64_t after) { static_cast<void>(watch_jobs_.push({.after = after})); }

void platform_duty::load_configuration(std::shared_ptr<const config_snapshot> known) {
    static_cast<void>(load_jobs_.push({.known = std::move(known)}));
}

void platform_duty::load_vms() { static_cast<void>(load_jobs_.push({.vms = true})); }

bool platform_duty::pop(platform_answer& out) { return watch_answers_.pop(out) || load_answers_.pop(out); }

void platform_duty::run_watches() {
    watch_job job;
    while (!stopped_) {
        if (!watch_jobs_.pop(job)) {
            std::this_thread::sleep_for(poll_period);
            continue;
        }
        auto found = store_.watch(head_key, job.after, clock_now() + watch_time);
        watch_finished answer;
        if (!found) {
            answer.store_revision = tl::make_unexpected(found.error());
        } else if (found->has_value()) {
            answer.store_revision = (*found)->revision;
        }
        static_cast<void>(watch_answers_.push(answer));
    }
}

load_finished platform_duty::load(const configuration& known) {
    const auto head = load_head(store_, clock_now() + call_timeout);
    if (!head) {
        return {.loaded = tl::make_unexpected(head.error())};
    }
    if (!head->has_value()) {
        return {};
    }
    // An earlier head is only reported; its service values may have been deleted.
    if ((*head)->head.revision <= known.head.revision) {
        return {.loaded = configuration{.head = (*head)->head}};
    }
    auto loaded = guavaramp::load_configuration(store_, (*head)->head, known, clock_now() + load_timeout);
    if (!loaded) {
        return {.loaded = tl::make_unexpected(loaded.error())};
    }
    return {.loaded = *std::move(loaded)};
}

void platform_duty::run_loads() {
    load_job job;
    const configuration nothing;
    while (!stopped_) {
        if (!load_jobs_.pop(job)) {
            std::this_thread::sleep_for(poll_period);
            continue;
        }
        if (job.vms) {
            static_cast<void>(load_answers_.push(vm_list_loaded{store_.vms(clock_now() + call_timeout)}));
        } else {
            static_cast<void>(load_answers_.push(load(job.known ? job.known->value() : nothing)));
        }
    }
}

}  // namespace guavaramp
