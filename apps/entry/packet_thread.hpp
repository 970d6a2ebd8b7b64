#pragma once

#include "entry_context.hpp"

#include <guavaramp/flow/steering.hpp>
#include <guavaramp/record/flow_record.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace guavaramp {

/// What other duties want to know. The functions are called on the packet thread and must return at once.
struct packet_thread_options {
    std::function<void(const flow_record&)> on_flow_ended;
    /// A packet showed that the peer has a newer configuration.
    std::function<void(const ip_address&)> on_newer_config;
};

/// The packet path: one thread with the `packet` and `relay` sockets. Starts in `start`, ends in the
/// destructor.
class packet_thread {
public:
    /// Binds the sockets and starts the thread. `context` outlives the result. Errors: `unavailable`.
    [[nodiscard]] static result<std::unique_ptr<packet_thread>> start(entry_context& context,
                                                                      packet_thread_options options);

    packet_thread(const packet_thread&) = delete;
    packet_thread& operator=(const packet_thread&) = delete;
    ~packet_thread();

    /// What this daemon knows of an open flow; nothing when it does not know it or the packet thread does not
    /// answer within 200 ms. Thread-safe; waits.
    [[nodiscard]] std::optional<flow_record> find_flow(const flow_key& flow);

    /// How a flow would be placed if it opened now. Errors: `not_found`, `unavailable`, `overloaded`,
    /// `deadline_exceeded`. Thread-safe; waits.
    [[nodiscard]] result<placement_preview> preview_placement(const flow_key& flow);

private:
    class impl;
    explicit packet_thread(std::unique_ptr<impl> owned);
    std::unique_ptr<impl> impl_;
};

}  // namespace guavaramp
