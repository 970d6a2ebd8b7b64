#pragma once

#include "entry_context.hpp"
#include "platform_duty.hpp"

#include <guavaramp/base/spsc_ring.hpp>
#include <guavaramp/config/spread.hpp>
#include <guavaramp/membership/membership.hpp>
#include <guavaramp/net/udp_socket.hpp>
#include <guavaramp/platform/http_key_value_store.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace guavaramp {

/// The control duty: membership and configuration. Publishes `context.config` and `context.members` and is
/// the only writer of both. Public methods are thread-safe.
class control_thread {
public:
    /// Publishes the local member, so that the packet path can start, binds the control port and starts the
    /// threads. Errors: `unavailable` (the control port cannot be bound).
    [[nodiscard]] static result<std::unique_ptr<control_thread>> start(entry_context& context);

    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread();

    /// The platform, for changes by operators. Its calls block.
    [[nodiscard]] http_key_value_store& store() noexcept { return store_; }

    /// Loads the platform's current configuration at once.
    void refresh_now() noexcept { refresh_wanted_ = true; }

    /// Applies and pushes a configuration whose head swap succeeded, and collects the revisions of all live
    /// members (see `confirm`). An older configuration than the current one changes nothing.
    void accept(configuration accepted);

    /// Asks all live members for their revision until each reports `revision` or later, for 10 s at most.
    /// Their answers appear in `context.members`; see `in_force_everywhere`.
    void confirm(config_revision revision);

private:
    struct pull_answer {
        ip_address from;
        http_outcome outcome;
    };

    control_thread(entry_context& context, udp_socket socket);

    void add_routes();
    void run();
    void step_once();
    void receive();
    void handle_datagram(const datagram& received);
    void take_requests();
    void take_answers();
    void take_vms(const vm_list_loaded& answer);
    void poll_platform();
    void advance(const membership_event& event);
    void advance_spread(const spread_event& event);
    void send(const outgoing_message& message);
    void pull(const start_pull& wanted);
    void publish_members();
    void publish_config();
    void count_platform_calls();
    void report_changes(const membership_effects& effects);
    void end_refresh();
    [[nodiscard]] bool is_blocked(const ip_address& peer) const;
    [[nodiscard]] std::vector<member> seeds() const;
    [[nodiscard]] http_response answer_pull(const http_request& request) const;
    [[nodiscard]] http_response set_faults(const http_request& request);
    [[nodiscard]] counter& sent_bytes(const char* kind);
    [[nodiscard]] counter& dropped(const char* reason);

    entry_context& context_;
    http_key_value_store store_;
    udp_socket socket_;
    std::mt19937_64 random_;
    membership_state membership_;
    spread_state spread_;
    replay_guard replays_;
    std::uint64_t sequence_{0};
    std::shared_ptr<spsc_ring<pull_answer>> pulls_;
    bool members_dirty_{false};
    mono_time members_published_;
    mono_time next_vm_poll_;
    mono_time vms_known_at_;
    mono_time next_cleanup_;
    std::optional<mono_time> refresh_deadline_;
    bool announced_leaving_{false};
    bool platform_reachable_{true};

    std::atomic<bool> refresh_wanted_{false};
    std::atomic<std::int64_t> pause_ms_{0};
    std::mutex mutex_;  ///< of the two below
    std::optional<configuration> accepted_;
    std::optional<config_revision> confirmation_;

    std::unique_ptr<platform_duty> platform_;
    std::thread thread_;
};

}  // namespace guavaramp
