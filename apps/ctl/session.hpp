#pragma once

#include <guavaramp/net/http.hpp>
#include <guavaramp/record/evaluate.hpp>
#include <guavaramp/telemetry/trace.hpp>

#include <string>
#include <vector>

namespace guavaramp {

struct ctl_options {
    std::vector<std::string> entries;  ///< "IP:PORT" or URLs, tried in order
    std::string key;
    std::string ca_file;  ///< PEM; set means https for entries without a scheme
    bool json{false};
    bool wait{false};
    bool dry_run{false};
};

/// Sends commands to entry VMs. Not thread-safe.
class ctl_session {
public:
    explicit ctl_session(ctl_options options);

    /// Sends a command to the first entry VM that can be reached. A change that an entry VM may have received
    /// is not sent to another one: the error is `outcome_unknown`. Errors: `unavailable`, `malformed` (the
    /// answer cannot be read).
    [[nodiscard]] result<query_answer> ask(const std::string& command);

    /// Runs a command, prints the answer and returns the exit status.
    int run(const std::string& command);

    /// Reads commands from the terminal or standard input until its end. Returns the last exit status.
    int run_interactive();

    /// Names for completion of `line`. Services are read once and again after a change; upstreams are read
    /// for the service that the last word names, those of others appear as "service/".
    [[nodiscard]] const completion_names& names_for(const std::string& line);

private:
    [[nodiscard]] http_call make_call(const std::string& entry, const std::string& command) const;
    void read_services();
    void read_upstreams(const std::string& service);
    void print(const query_answer& answer, const std::string& command) const;

    ctl_options options_;
    http_client client_;
    completion_names names_;
    bool services_read_{false};
    std::string upstreams_read_of_;
};

}  // namespace guavaramp
