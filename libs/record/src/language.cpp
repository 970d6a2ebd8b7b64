#include <guavaramp/base/nearest_word.hpp>
#include <guavaramp/base/overloaded.hpp>
#include <guavaramp/record/language.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace guavaramp {
namespace {

struct word {
    std::string_view text;
    std::size_t position{0};
};

bool is_space(char letter) noexcept {
    return letter == ' ' || letter == '\t' || letter == '\n' || letter == '\r';
}

std::size_t end_of_word(std::string_view text, std::size_t begin) {
    if (text[begin] == '{') {
        return text.size();
    }
    if (text.substr(begin, 2) == "->") {
        return begin + 2;
    }
    std::size_t end = begin;
    while (end < text.size() && !is_space(text[end]) && text.substr(end, 2) != "->") {
        ++end;
    }
    return end;
}

/// Splits at white space; "->" is a word of its own. A word that begins with '{' is a JSON body and reaches
/// to the end of the text.
std::vector<word> split_words(std::string_view text) {
    std::vector<word> words;
    std::size_t next = 0;
    while (next < text.size()) {
        if (is_space(text[next])) {
            ++next;
            continue;
        }
        const std::size_t end = end_of_word(text, next);
        words.push_back({.text = text.substr(next, end - next), .position = next});
        next = end;
    }
    return words;
}

/// What names a place in a command may hold, for completion.
enum class name_kind { none, service, upstream };

/// Thrown inside the parser and turned into a result at its border.
struct parse_failure {
    syntax_error reason;
};

/// Reads words in order and notes what could have followed at the end of the text.
class cursor {
public:
    explicit cursor(std::string_view text) : text_(text), words_(split_words(text)) {}

    [[nodiscard]] bool at_end() const noexcept { return next_ == words_.size(); }

    /// Takes the next word when it is `keyword`.
    bool accept(const std::string& keyword) {
        tried_.push_back(keyword);
        if (at_end() || words_[next_].text != keyword) {
            return false;
        }
        advance();
        return true;
    }

    /// Takes any word; `what` describes it in messages.
    std::string take(const std::string& what, name_kind kind = name_kind::none) {
        if (at_end()) {
            kind_ = kind;
            fail_here("expected " + what);
        }
        std::string taken{words_[next_].text};
        advance();
        return taken;
    }

    void expect(const std::string& keyword) {
        if (!accept(keyword)) {
            fail_expected();
        }
    }

    /// Takes a word and converts it; a failed conversion is an error at that word.
    template <typename Convert>
    auto take_as(const std::string& what, Convert convert, name_kind kind = name_kind::none) {
        auto value = convert(take(what, kind));
        if (!value) {
            --next_;
            fail_here(value.error().message);
        }
        return *std::move(value);
    }

    void expect_end() {
        if (at_end()) {
            return;
        }
        if (tried_.empty()) {
            fail_here("expected the end of the command, found '" + std::string{words_[next_].text} + "'");
        }
        fail_expected();
    }

    /// Fails with the keywords that were tried at this place.
    [[noreturn]] void fail_expected() const {
        std::string message = "expected ";
        for (std::size_t index = 0; index < tried_.size(); ++index) {
            message += index == 0 ? "" : (index + 1 == tried_.size() ? " or " : ", ");
            message += "'" + tried_[index] + "'";
        }
        if (!at_end()) {
            message += ", found '" + std::string{words_[next_].text} + "'" +
                       nearest_word_hint(words_[next_].text, tried_);
        }
        fail_here(message);
    }

    [[noreturn]] void fail_here(const std::string& message) const {
        const std::size_t position = at_end() ? text_.size() : words_[next_].position;
        const std::size_t length = at_end() ? 0 : words_[next_].text.size();
        throw parse_failure{{.position = position, .length = length, .message = message}};
    }

    [[nodiscard]] const std::vector<std::string>& tried() const noexcept { return tried_; }
    [[nodiscard]] name_kind wanted_name() const noexcept { return kind_; }

private:
    void advance() {
        ++next_;
        tried_.clear();
        kind_ = name_kind::none;
    }

    std::string_view text_;
    std::vector<word> words_;
    std::size_t next_{0};
    std::vector<std::string> tried_;
    name_kind kind_{name_kind::none};
};

std::string take_service(cursor& words) { return words.take("the name of a service", name_kind::service); }

result<upstream_name> parse_upstream_name(const std::string& text) {
    const auto slash = text.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == text.size()) {
        return fail(error_kind::malformed,
                    "expected an upstream as SERVICE/NAME, for example dispatch/h07, found '" + text + "'");
    }
    return upstream_name{.service = text.substr(0, slash), .name = text.substr(slash + 1)};
}

upstream_name take_upstream(cursor& words) {
    return words.take_as("an upstream as SERVICE/NAME", parse_upstream_name, name_kind::upstream);
}

endpoint take_endpoint(cursor& words) {
    return words.take_as("an address as IP:PORT", [](const std::string& text) -> result<endpoint> {
        auto parsed = parse_endpoint(text);
        if (!parsed) {
            return fail(error_kind::malformed, "expected an address as IP:PORT, found '" + text + "'");
        }
        return parsed;
    });
}

endpoint take_address(cursor& words, std::uint16_t default_port) {
    return words.take_as("an address as IP or IP:PORT",
                         [default_port](const std::string& text) -> result<endpoint> {
                             if (const auto address = parse_ip_address(text)) {
                                 return endpoint{.address = *address, .port = default_port};
                             }
                             auto parsed = parse_endpoint(text);
                             if (!parsed) {
                                 return fail(error_kind::malformed,
                                             "expected an address as IP or IP:PORT, found '" + text + "'");
                             }
                             return parsed;
                         });
}

time_expression take_time(cursor& words) {
    return words.take_as("a time such as 10m, 22:00 or 2026-12-04T22:00:00Z", parse_time);
}

std::uint32_t take_number(cursor& words, const std::string& what, std::uint32_t least, std::uint32_t most) {
    const std::string allowed = what + " from " + std::to_string(least) + " to " + std::to_string(most);
    return words.take_as(allowed, [&](const std::string& text) -> result<std::uint32_t> {
        std::uint32_t value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc{} || end != text.data() + text.size() || value < least || value > most) {
            return fail(error_kind::malformed, "expected " + allowed + ", found '" + text + "'");
        }
        return value;
    });
}

std::uint32_t take_weight(cursor& words) { return take_number(words, "a weight", least_weight, most_weight); }

work_class take_class(cursor& words) {
    for (const auto value : {work_class::urgent, work_class::normal, work_class::bulk}) {
        if (words.accept(to_string(value))) {
            return value;
        }
    }
    words.fail_expected();
}

statement parse_show_flows(cursor& words) {
    show_flows_statement out;
    words.expect("of");
    out.service = take_service(words);
    if (words.accept("on")) {
        const std::string text = words.take("the name of an upstream", name_kind::upstream);
        const std::string prefix = out.service + "/";
        const bool full = text.starts_with(prefix) && text.size() > prefix.size();
        out.upstream = full ? text.substr(prefix.size()) : text;
    }
    if (words.accept("limit")) {
        out.limit = take_number(words, "a number", 1, most_listed_flows);
    }
    return out;
}

statement parse_show(cursor& words) {
    if (words.accept("services")) {
        return show_services_statement{};
    }
    if (words.accept("service")) {
        return show_service_statement{take_service(words)};
    }
    if (words.accept("upstreams")) {
        words.expect("of");
        return show_upstreams_statement{take_service(words)};
    }
    if (words.accept("entries")) {
        return show_entries_statement{};
    }
    if (words.accept("changes")) {
        words.expect("since");
        return show_changes_statement{take_time(words)};
    }
    if (words.accept("flows")) {
        return parse_show_flows(words);
    }
    if (words.accept("counters")) {
        return show_counters_statement{words.accept("matching") ? words.take("a part of a name") : ""};
    }
    words.fail_expected();
}

transport take_optional_transport(cursor& words) {
    for (const auto value : {transport::udp, transport::tcp}) {
        if (words.accept(to_string(value))) {
            return value;
        }
    }
    return transport::tcp;
}

statement parse_why(cursor& words) {
    words.expect("flow");
    why_flow_statement out;
    out.flow.caller = take_endpoint(words);
    // A shell takes an unquoted ">" for a redirection, so "to" is accepted as well.
    if (!words.accept("->")) {
        words.expect("to");
    }
    out.flow.service = take_endpoint(words);
    out.flow.protocol = take_optional_transport(words);
    return out;
}

statement parse_broken(cursor& words) {
    words.expect("flows");
    words.expect("last");
    broken_flows_statement out{.last = take_time(words)};
    if (!words.accept("by")) {
        return out;
    }
    if (words.accept("cause")) {
        out.grouping = broken_flows_grouping::cause;
    } else if (words.accept("upstream")) {
        out.grouping = broken_flows_grouping::upstream;
    } else {
        words.expect("service");
        out.grouping = broken_flows_grouping::service;
    }
    return out;
}

statement parse_add_service(cursor& words) {
    add_service_change change{.name = words.take("a name for the service")};
    words.expect("address");
    change.address = take_endpoint(words);
    change.protocol = take_optional_transport(words);
    if (words.accept("class")) {
        change.urgency = take_class(words);
    }
    return change_statement{change};
}

statement parse_add_upstream(cursor& words) {
    add_upstream_change change{.target = take_upstream(words)};
    words.expect("address");
    change.packet_address = take_address(words, default_packet_port);
    change.request_address = {.address = change.packet_address.address, .port = default_request_port};
    if (words.accept("request")) {
        change.request_address = take_address(words, default_request_port);
    }
    if (words.accept("domain")) {
        change.failure_domain = words.take("a failure domain");
    }
    if (words.accept("weight")) {
        change.weight = take_weight(words);
    }
    return change_statement{change};
}

statement parse_add(cursor& words) {
    if (words.accept("service")) {
        return parse_add_service(words);
    }
    words.expect("upstream");
    return parse_add_upstream(words);
}

statement parse_remove(cursor& words) {
    if (words.accept("service")) {
        return change_statement{remove_service_change{take_service(words)}};
    }
    words.expect("upstream");
    return change_statement{remove_upstream_change{take_upstream(words)}};
}

statement parse_drain(cursor& words) {
    words.expect("upstream");
    drain_statement out{.target = take_upstream(words)};
    if (words.accept("at")) {
        out.at = take_time(words);
    }
    return out;
}

statement parse_undrain(cursor& words) {
    words.expect("upstream");
    return change_statement{undrain_change{take_upstream(words)}};
}

statement parse_set(cursor& words) {
    if (words.accept("weight")) {
        set_weight_change change{.target = take_upstream(words)};
        change.weight = take_weight(words);
        return change_statement{change};
    }
    words.expect("class");
    set_class_change change{.service = take_service(words)};
    change.urgency = take_class(words);
    return change_statement{change};
}

void add_missing(nlohmann::json& object, const nlohmann::json& defaults) {
    for (const auto& [key, value] : defaults.items()) {
        object.emplace(key, value);
    }
}

/// Completes a declared service to the stored form, so that the one decoder of the configuration checks it.
result<service> declared_service(nlohmann::json object) {
    if (!object.is_object()) {
        return fail(error_kind::malformed, "key 'services': expected JSON objects");
    }
    add_missing(object, {{"id", 0},
                         {"protocol", "tcp"},
                         {"class", "normal"},
                         {"revision", 0},
                         {"change_id", ""},
                         {"upstreams", nlohmann::json::array()}});
    if (!object["upstreams"].is_array()) {
        return fail(error_kind::malformed, "key 'upstreams': expected a list");
    }
    for (auto& host : object["upstreams"]) {
        if (!host.is_object()) {
            return fail(error_kind::malformed, "key 'upstreams': expected JSON objects");
        }
        add_missing(host, {{"id", 0}, {"failure_domain", ""}, {"weight", 100}, {"state", "active"}});
    }
    return service_from_json(object);
}

result<load_change> parse_load_body(const std::string& text) {
    const auto body = nlohmann::json::parse(text, nullptr, false, true);
    if (!body.is_object() || !body.contains("services") || !body["services"].is_array()) {
        return fail(error_kind::malformed, R"(expected JSON of the form {"services": [...]})");
    }
    load_change change;
    for (const auto& item : body["services"]) {
        auto value = declared_service(item);
        if (!value) {
            return tl::make_unexpected(value.error());
        }
        change.services.push_back(*std::move(value));
    }
    return change;
}

statement parse_load(cursor& words) {
    words.expect("configuration");
    return change_statement{words.take_as("a JSON body", parse_load_body)};
}

statement parse_any(cursor& words) {
    using parser = statement (*)(cursor&);
    static const std::vector<std::pair<std::string, parser>> verbs{
        {"show", parse_show},       {"why", parse_why},
        {"broken", parse_broken},   {"add", parse_add},
        {"remove", parse_remove},   {"drain", parse_drain},
        {"undrain", parse_undrain}, {"set", parse_set},
        {"load", parse_load},       {"help", [](cursor&) -> statement { return help_statement{}; }}};
    for (const auto& [verb, parse] : verbs) {
        if (words.accept(verb)) {
            return parse(words);
        }
    }
    words.fail_expected();
}

const char* grouping_text(broken_flows_grouping value) noexcept {
    switch (value) {
        case broken_flows_grouping::cause:
            return " by cause";
        case broken_flows_grouping::upstream:
            return " by upstream";
        case broken_flows_grouping::service:
            return " by service";
        case broken_flows_grouping::none:
            break;
    }
    return "";
}

std::string change_text(const change_command& command) {
    const auto* load = std::get_if<load_change>(&command);
    if (load == nullptr) {
        return to_string(command);
    }
    nlohmann::json services = nlohmann::json::array();
    for (const auto& item : load->services) {
        services.push_back(to_json(item));
    }
    return "load configuration " + nlohmann::json{{"services", services}}.dump();
}

}  // namespace

tl::expected<statement, syntax_error> parse_statement(std::string_view text) {
    cursor words{text};
    try {
        auto parsed = parse_any(words);
        words.expect_end();
        return parsed;
    } catch (const parse_failure& failure) {
        return tl::make_unexpected(failure.reason);
    }
}

std::string to_string(const statement& value) {
    return std::visit(
        overloaded{
            [](const show_services_statement&) { return std::string{"show services"}; },
            [](const show_service_statement& item) { return "show service " + item.service; },
            [](const show_upstreams_statement& item) { return "show upstreams of " + item.service; },
            [](const show_entries_statement&) { return std::string{"show entries"}; },
            [](const show_changes_statement& item) { return "show changes since " + to_string(item.since); },
            [](const show_flows_statement& item) {
                return "show flows of " + item.service + (item.upstream.empty() ? "" : " on ") +
                       item.upstream + " limit " + std::to_string(item.limit);
            },
            [](const show_counters_statement& item) {
                return "show counters" + (item.matching.empty() ? "" : " matching " + item.matching);
            },
            [](const why_flow_statement& item) {
                return "why flow " + to_string(item.flow.caller) + " -> " + to_string(item.flow.service) +
                       " " + to_string(item.flow.protocol);
            },
            [](const broken_flows_statement& item) {
                return "broken flows last " + to_string(item.last) + grouping_text(item.grouping);
            },
            [](const help_statement&) { return std::string{"help"}; },
            [](const drain_statement& item) {
                return "drain upstream " + item.target.service + "/" + item.target.name +
                       (item.at ? " at " + to_string(*item.at) : "");
            },
            [](const change_statement& item) { return change_text(item.command); },
        },
        value);
}

bool is_change(const statement& value) noexcept {
    return std::holds_alternative<drain_statement>(value) || std::holds_alternative<change_statement>(value);
}

std::vector<std::string> complete_statement(std::string_view text, const completion_names& names) {
    std::size_t begin = text.size();
    while (begin > 0 && !is_space(text[begin - 1])) {
        --begin;
    }
    const auto partial = text.substr(begin);
    cursor words{text.substr(0, begin)};
    try {
        static_cast<void>(parse_any(words));
    } catch (const parse_failure&) {
        if (!words.at_end()) {
            return {};
        }
    }
    std::vector<std::string> candidates = words.tried();
    if (words.wanted_name() != name_kind::none) {
        candidates = words.wanted_name() == name_kind::service ? names.services : names.upstreams;
    }
    std::erase_if(candidates, [&](const std::string& word) { return !word.starts_with(partial); });
    std::sort(candidates.begin(), candidates.end());
    return candidates;
}

std::optional<std::size_t> find_word(std::string_view text, std::string_view wanted) {
    for (const auto& item : split_words(text)) {
        const bool service_part = item.text.starts_with(wanted) && item.text.size() > wanted.size() &&
                                  item.text[wanted.size()] == '/';
        if (item.text == wanted || service_part) {
            return item.position;
        }
    }
    return std::nullopt;
}

const std::vector<std::string>& grammar_lines() {
    static const std::vector<std::string> lines{
        "show services",
        "show service SERVICE",
        "show upstreams of SERVICE",
        "show entries",
        "show changes since TIME",
        "show flows of SERVICE [on UPSTREAM] [limit N]",
        "show counters [matching TEXT]",
        "why flow IP:PORT -> IP:PORT [udp]",
        "broken flows last TIME [by cause|upstream|service]",
        "add service SERVICE address IP:PORT [udp] [class urgent|normal|bulk]",
        "remove service SERVICE",
        "add upstream SERVICE/NAME address IP[:PORT] [request IP[:PORT]] [domain DOMAIN] [weight N]",
        "remove upstream SERVICE/NAME",
        "drain upstream SERVICE/NAME [at TIME]",
        "undrain upstream SERVICE/NAME",
        "set weight SERVICE/NAME N",
        "set class SERVICE urgent|normal|bulk",
        "load configuration {\"services\": [...]}",
        "help",
    };
    return lines;
}

}  // namespace guavaramp
