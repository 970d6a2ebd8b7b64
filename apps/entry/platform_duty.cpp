#include "platform_duty.hpp"

#include <guavaramp/platform/config_cleanup.hpp>
#include <guavaramp/platform/config_loader.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

namespace guavaramp {
namespace {

constexpr std::size_t ring_capacity = 16;
constexpr auto poll_period = std::chrono::milliseconds{10};
constexpr auto call_timeout = std::chrono::seconds{3};
// A design size of 1,600 services is loaded at the call budget's rate when no peer has them.
constexpr auto load_timeout = std::chrono::seconds{90};
constexpr auto watch_time = std::chrono::seconds{25};
constexpr auto cleanup_timeout = std::chrono::seconds{30};
constexpr auto cleanup_lease_time = std::chrono::seconds{4};
constexpr const char* cleanup_key = "guavaramp/leases/cleanup";

mono_time clock_now() { return std::chrono::steady_clock::now(); }

}  // namespace

platform_duty::platform_duty(key_value_store& store, lease_store& leases, std::string owner,
                             const std::atomic<bool>& stopped)
    : store_(store),
      cleanup_lease_(leases, cleanup_key, std::move(owner), cleanup_lease_time, clock_now),
      stopped_(stopped),
      watch_jobs_(ring_capacity),
      load_jobs_(ring_capacity),
      watch_answers_(ring_capacity),
      load_answers_(ring_capacity),
      watch_thread_([this] {
          name_thread("control-watch");
          run_watches();
      }),
      load_thread_([this] {
          name_thread("control-load");
          run_loads();
      }) {}

platform_duty::~platform_duty() {
    watch_thread_.join();
    load_thread_.join();
}

void platform_duty::watch(std::uint64_t after) { static_cast<void>(watch_jobs_.push({.after = after})); }

void platform_duty::load_configuration(std::shared_ptr<const config_snapshot> known) {
    static_cast<void>(load_jobs_.push({.known = std::move(known)}));
}

void platform_duty::load_vms() { static_cast<void>(load_jobs_.push({.kind = load_kind::vms})); }

void platform_duty::clean_up() { static_cast<void>(load_jobs_.push({.kind = load_kind::cleanup})); }

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

platform_answer platform_duty::answer(const load_job& job) {
    static const configuration nothing;
    switch (job.kind) {
        case load_kind::vms:
            return vm_list_loaded{store_.vms(clock_now() + call_timeout)};
        case load_kind::cleanup:
            return cleanup_finished{
                guavaramp::clean_up(store_, cleanup_lease_, clock_now() + cleanup_timeout).value_or(0)};
        case load_kind::configuration:
            break;
    }
    return load(job.known ? job.known->value() : nothing);
}

void platform_duty::run_loads() {
    load_job job;
    while (!stopped_) {
        if (!load_jobs_.pop(job)) {
            std::this_thread::sleep_for(poll_period);
            continue;
        }
        static_cast<void>(load_answers_.push(answer(job)));
    }
}

}  // namespace guavaramp
