#pragma once

#include "entry_context.hpp"
#include "task_pool.hpp"

#include <guavaramp/base/spsc_ring.hpp>
#include <guavaramp/platform/key_value_store.hpp>
#include <guavaramp/record/evaluate.hpp>
#include <guavaramp/record/history.hpp>
#include <guavaramp/telemetry/trace.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace guavaramp {

/// What the packet path offers to questions. Functions may be empty; they are called on the query service's
/// threads and must be thread-safe.
struct flow_source {
    std::function<std::optional<flow_record>(const flow_key&)> find_flow;
    /// Open flows of a service, on one upstream unless it is `no_upstream`, at most `limit`.
    std::function<std::vector<flow_record>(service_id, upstream_id, std::size_t limit)> list_flows;
};

/// What the query service needs from other duties of the daemon.
struct query_dependencies {
    key_value_store* store{nullptr};  ///< null: changes are answered with `unavailable`
    flow_source flows;
    std::function<void()> refresh_now;  ///< makes the control thread read the accepted configuration at once
    /// Hands over a configuration whose head swap succeeded; replaces `refresh_now` when it is set.
    std::function<void(configuration)> accept;
    /// Makes the control thread collect the revisions of all live members until they reach this one.
    std::function<void(config_revision)> confirm;
    /// Whether a fault injected for tests cuts this daemon off from an entry VM.
    std::function<bool(const ip_address&)> is_blocked;
    /// How long another entry VM may take to answer a question before it counts as not reached.
    std::chrono::milliseconds peer_timeout{1000};
};

/// Answers operators' commands (`POST /v1/query`) and other entry VMs' questions about flows
/// (`POST /peer/history`), and owns the daemon's records of ended flows and changes. `GET /v1/traces` shows
/// the spans. Create it before the HTTP server starts and destroy it after the server has ended.
class query_service {
public:
    query_service(entry_context& context, query_dependencies dependencies);
    ~query_service();
    query_service(const query_service&) = delete;
    query_service& operator=(const query_service&) = delete;

    /// Takes over the record of a flow that has ended. Never blocks. Called by one thread, the packet thread.
    void record_ended(const flow_record& record);

    [[nodiscard]] tracer& traces() noexcept { return traces_; }

private:
    struct broken_copy {
        flow_record record;
        std::size_t attempt{0};
    };
    void add_routes();
    void answer_command(const http_request& request, const http_responder& respond);
    void answer_peer(const http_request& request, const http_responder& respond);
    void answer_traces(const http_request& request, const http_responder& respond);
    [[nodiscard]] http_response evaluate_command(const std::string& command, const change_options& options,
                                                 std::optional<trace_context> parent);
    [[nodiscard]] query_source make_source(const trace_context& trace);
    [[nodiscard]] http_response answer_question(const std::string& body);

    [[nodiscard]] member_list entries() const;
    [[nodiscard]] std::vector<member> others() const;
    [[nodiscard]] std::vector<member> candidates_of(const flow_key& flow) const;
    [[nodiscard]] gathered_flows gather(const std::string& question, const std::vector<member>& peers,
                                        const trace_context& trace);
    [[nodiscard]] http_call peer_call(const member& peer, const std::string& body,
                                      const trace_context* trace) const;
    [[nodiscard]] std::vector<flow_record> records_of_flow(const flow_key& flow);
    [[nodiscard]] std::vector<flow_record> records_of_service(service_id service, upstream_id upstream,
                                                              std::size_t limit);
    [[nodiscard]] std::optional<std::vector<flow_record>> records_for(const std::string& question);
    [[nodiscard]] gathered_flows local_answer(const std::string& question);
    [[nodiscard]] gathered_flows find_flow(const flow_key& flow, const trace_context& trace);

    [[nodiscard]] result<change_outcome> change(const change_command& command, const change_options& options);
    [[nodiscard]] result<change_facts> facts_for(const change_command& command, mono_time deadline);
    void announce(committed_change& committed) const;
    void collect_revisions(const std::vector<listed_vm>& listed) const;
    [[nodiscard]] bool is_blocked(const ip_address& address) const;
    void wait_in_force(change_outcome& outcome, const std::vector<listed_vm>& listed) const;

    void run_records();
    void take_ended();
    void send_broken();
    void send_batch(const member& peer, std::vector<broken_copy> batch);
    [[nodiscard]] std::optional<member> keeper_of(const broken_copy& copy) const;

    entry_context& context_;
    query_dependencies dependencies_;
    tracer traces_;
    std::string self_;
    std::atomic<std::uint64_t> next_change_{1};

    spsc_ring<flow_record> ended_;
    spsc_ring<flow_record> broken_;
    std::mutex history_mutex_;
    flow_history history_;
    change_history changes_;

    std::mutex broken_mutex_;
    std::vector<broken_copy> unsent_;

    counter& lost_records_;
    counter& lost_copies_;
    counter& commands_;
    counter& refused_;

    std::atomic<bool> stopping_{false};
    std::thread records_thread_;
    // Questions of peers have a thread of their own: two entry VMs that ask each other would wait forever on
    // one shared with commands.
    task_pool peer_tasks_;
    task_pool command_tasks_;
};

}  // namespace guavaramp
