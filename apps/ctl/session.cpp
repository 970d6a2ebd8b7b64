#include "session.hpp"

#include "render.hpp"

#include <guavaramp/record/language.hpp>

#include <editline/readline.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>

namespace guavaramp {
namespace {

// An entry VM waits 5 s for an acceptance and 10 s for a change to come into force.
constexpr std::chrono::seconds call_deadline{17};
constexpr int most_history_lines = 1000;

ctl_session* completing = nullptr;
std::vector<std::string> candidates;

query_answer answer_of(const error& failure) { return {.failure = failure.kind, .message = failure.message}; }

char* next_candidate(const char* /*text*/, int state) {
    static std::size_t next = 0;
    next = state == 0 ? 0 : next;
    return next < candidates.size() ? ::strdup(candidates[next++].c_str()) : nullptr;
}

char** complete(const char* text, int /*start*/, int end) {
    rl_attempted_completion_over = 1;
    const std::string line{rl_line_buffer, static_cast<std::size_t>(end)};
    candidates = complete_statement(line, completing->names_for(line));
    const bool unfinished = candidates.size() == 1 && candidates.front().ends_with('/');
    rl_completion_append_character = unfinished ? 0 : 0x20;  // none, or a space
    return rl_completion_matches(text, next_candidate);
}

/// Reads a line with editing and history from a terminal, without them from a pipe.
bool read_line(std::string& line) {
    if (::isatty(STDIN_FILENO) == 0) {
        return static_cast<bool>(std::getline(std::cin, line));
    }
    char* text = ::readline("guavaramp> ");
    if (text == nullptr) {
        std::cout << '\n';
        return false;
    }
    line = text;
    std::free(text);  // NOLINT: readline allocates with malloc
    if (!line.empty()) {
        ::add_history(line.c_str());
    }
    return true;
}

void start_editing(ctl_session& session) {
    completing = &session;
    static char break_characters[] = " \t\n";
    rl_completer_word_break_characters = break_characters;
    rl_attempted_completion_function = complete;
    ::using_history();
    ::stifle_history(most_history_lines);
}

}  // namespace

ctl_session::ctl_session(ctl_options options) : options_(std::move(options)) {}

http_call ctl_session::make_call(const std::string& entry, const std::string& command) const {
    nlohmann::json body{{"command", command}};
    if (!options_.key.empty()) {
        body["key"] = options_.key;
    }
    body["dry_run"] = options_.dry_run;
    body["wait"] = options_.wait;
    if (options_.if_revision) {
        body["if_revision"] = *options_.if_revision;
    }
    const bool has_scheme = entry.find("://") != std::string::npos;
    const std::string scheme = options_.ca_file.empty() ? "http://" : "https://";
    return {.method = "POST",
            .url = (has_scheme ? entry : scheme + entry) + "/v1/query",
            .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            .deadline = std::chrono::steady_clock::now() + call_deadline,
            .ca_file = options_.ca_file};
}

result<query_answer> ctl_session::ask(const std::string& command) {
    const auto parsed = parse_statement(command);
    const bool change = parsed && is_change(*parsed) && !options_.dry_run;
    error last{.kind = error_kind::unavailable, .message = "no entry VM is given; use --entry"};
    for (const auto& entry : options_.entries) {
        const auto outcome = client_.run(make_call(entry, command));
        if (outcome.response) {
            const auto json = nlohmann::json::parse(outcome.response->body, nullptr, false);
            if (json.is_object() && json.contains("outcome")) {
                return answer_from_json(json);
            }
            if (json.is_object() && json.contains("error") && json["error"].is_string()) {
                return fail(error_kind_from_name(json["error"].get<std::string>()),
                            json.value("message", "no message"));
            }
            return fail(error_kind::malformed, entry + " answered with status " +
                                                   std::to_string(outcome.response->status) +
                                                   " and no JSON answer");
        }
        last = outcome.response.error();
        if (change && outcome.request_may_have_been_sent) {
            return fail(
                error_kind::outcome_unknown,
                "the change may have been accepted; 'show changes since 1m' tells (" + last.message + ")");
        }
    }
    return tl::make_unexpected(last);
}

void ctl_session::print(const query_answer& answer, const std::string& command) const {
    if (options_.json) {
        std::cout << to_json(answer).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
        return;
    }
    std::cout << render_table(answer) << std::flush;
    if (!answer.failure) {
        std::cout << answer.message << std::endl;
        return;
    }
    std::cerr << render_position(answer, command) << representation_of(*answer.failure).name << ": "
              << answer.message << std::endl;
}

int ctl_session::run(const std::string& command) {
    const auto asked = ask(command);
    const query_answer answer = asked ? *asked : answer_of(asked.error());
    print(answer, command);
    const auto parsed = parse_statement(command);
    if (parsed && is_change(*parsed)) {
        services_read_ = false;
    }
    return answer.failure ? representation_of(*answer.failure).exit_status : 0;
}

void ctl_session::read_services() {
    names_ = {};
    upstreams_read_of_.clear();
    services_read_ = true;
    const auto services = ask("show services");
    if (!services) {
        return;
    }
    for (const auto& row : services->rows) {
        names_.services.push_back(row.front());
    }
}

void ctl_session::read_upstreams(const std::string& service) {
    names_.upstreams.clear();
    upstreams_read_of_ = service;
    for (const auto& name : names_.services) {
        if (name != service) {
            names_.upstreams.push_back(name + "/");
        }
    }
    if (service.empty()) {
        return;
    }
    const auto upstreams = ask("show upstreams of " + service);
    if (!upstreams) {
        return;
    }
    for (const auto& row : upstreams->rows) {
        names_.upstreams.push_back(service + "/" + row.front());
    }
}

const completion_names& ctl_session::names_for(const std::string& line) {
    if (!services_read_) {
        read_services();
    }
    const std::string word = line.substr(line.find_last_of(" \t") + 1);
    const auto slash = word.find('/');
    const std::string service = slash == std::string::npos ? "" : word.substr(0, slash);
    if (names_.upstreams.empty() || service != upstreams_read_of_) {
        read_upstreams(service);
    }
    return names_;
}

int ctl_session::run_interactive() {
    start_editing(*this);
    int status = 0;
    std::string line;
    while (read_line(line)) {
        if (line == "exit" || line == "quit") {
            break;
        }
        if (line.find_first_not_of(" \t\r") != std::string::npos) {
            status = run(line);
        }
    }
    return status;
}

}  // namespace guavaramp
