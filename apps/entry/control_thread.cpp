#include "control_thread.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/platform/config_loader.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

constexpr auto poll_period = std::chrono::milliseconds{500};
constexpr auto refresh_poll_period = std::chrono::milliseconds{20};
constexpr auto call_timeout = std::chrono::seconds{2};

mono_time clock_now() { return std::chrono::steady_clock::now(); }

member local_member(const entry_context& context) {
    return {.address = context.settings.address,
            .failure_domain = context.settings.failure_domain,
            .region = context.settings.region,
            .incarnation = context.incarnation,
            .state = context.leaving ? member_state::leaving : member_state::alive};
}

}  // namespace

control_thread::control_thread(entry_context& context)
    : context_(context),
      store_(context.client, {.base_url = context.settings.platform_url,
                              .seed = hash_text(to_string(context.settings.address))}) {
    context_.members.set(std::make_shared<member_list>(member_list{.members = {local_member(context_)}}));
    thread_ = std::thread{[this] { run(); }};
}

control_thread::~control_thread() {
    context_.stopped = true;
    store_.stop();
    thread_.join();
}

void control_thread::load_members() {
    const auto listed = store_.vms(clock_now() + call_timeout);
    if (!listed) {
        return;
    }
    const auto local = local_member(context_);
    member_list list{.members = {local}};
    for (const auto& vm : *listed) {
        const auto address = parse_ip_address(vm.address);
        if (address && *address != local.address) {
            list.members.push_back({.address = *address,
                                    .failure_domain = vm.failure_domain,
                                    .region = vm.region,
                                    .state = vm.leaving ? member_state::leaving : member_state::alive});
        }
    }
    std::sort(list.members.begin(), list.members.end(),
              [](const member& left, const member& right) { return left.address < right.address; });
    const auto current = context_.members.get();
    if (*current != list) {
        context_.members.set(std::make_shared<member_list>(std::move(list)));
    }
}

void control_thread::load_config() {
    const auto deadline = clock_now() + call_timeout;
    const auto stored = load_head(store_, deadline);
    if (!stored || !stored->has_value()) {
        return;
    }
    const auto current = context_.config.get();
    if (current && current->revision() >= (*stored)->head.revision) {
        return;
    }
    auto loaded =
        load_configuration(store_, (*stored)->head, current ? current->value() : configuration{}, deadline);
    if (!loaded) {
        return;
    }
    context_.config.set(std::make_shared<config_snapshot>(*std::move(loaded)));
    log_event(log_level::info, "configuration_applied",
              {{"revision", std::to_string(static_cast<std::uint64_t>((*stored)->head.revision))}});
}

void control_thread::run() {
    while (!context_.stopped) {
        refresh_ = false;
        load_config();
        load_members();
        const auto next = clock_now() + poll_period;
        while (clock_now() < next && !refresh_ && !context_.stopped) {
            std::this_thread::sleep_for(refresh_poll_period);
        }
    }
}

}  // namespace guavaramp
