#include <guavaramp/requests/request.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using json = nlohmann::json;

tl::unexpected<error> bad_key(const char* key, const char* allowed) {
    return fail(error_kind::malformed, std::string{key} + ": allowed " + allowed);
}

/// Reads an optional integer; returns false when it is present with another type.
bool read_integer(const json& object, const char* key, std::int64_t& out) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return true;
    }
    if (!found->is_number_integer()) {
        return false;
    }
    out = found->get<std::int64_t>();
    return true;
}

bool read_text(const json& object, const char* key, std::string& out) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return false;
    }
    out = found->get<std::string>();
    return true;
}

std::string dump(const json& value) { return value.dump(-1, ' ', false, json::error_handler_t::replace); }

result<request_outcome> parse_outcome(const std::string& text) {
    for (const auto outcome :
         {request_outcome::answered, request_outcome::not_run, request_outcome::outcome_unknown}) {
        if (text == to_string(outcome)) {
            return outcome;
        }
    }
    return bad_key("outcome", "answered, not_run, outcome_unknown");
}

}  // namespace

result<client_request> parse_client_request(const std::string& text, std::int64_t now_ms) {
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return fail(error_kind::malformed, "the body must be a JSON object");
    }
    client_request request;
    if (!read_text(object, "service", request.service)) {
        return bad_key("service", "the name of a service");
    }
    if (!read_text(object, "id", request.id) || request.id.empty() ||
        request.id.size() > max_request_id_bytes) {
        return bad_key("id", "a text of 1 to 128 bytes");
    }
    std::string urgency;
    if (object.contains("class")) {
        if (!read_text(object, "class", urgency)) {
            return bad_key("class", "urgent, normal, bulk");
        }
        const auto parsed = parse_work_class(urgency);
        if (!parsed) {
            return bad_key("class", "urgent, normal, bulk");
        }
        request.urgency = *parsed;
    }
    if (!object.contains("deadline_ms") || !read_integer(object, "deadline_ms", request.deadline_ms)) {
        return bad_key("deadline_ms", "Unix time in milliseconds");
    }
    request.deadline_ms = std::min(request.deadline_ms, now_ms + max_deadline_ahead_ms);
    request.first_sent_ms = now_ms;
    if (!read_integer(object, "first_sent_ms", request.first_sent_ms)) {
        return bad_key("first_sent_ms", "Unix time in milliseconds");
    }
    request.first_sent_ms = std::min(request.first_sent_ms, now_ms);
    std::int64_t attempt = -1;
    if (!read_integer(object, "attempt", attempt) || attempt > 1'000'000) {
        return bad_key("attempt", "an integer from 0 to 1000000");
    }
    if (attempt >= 0) {
        request.attempt = static_cast<unsigned>(attempt);
    }
    if (const auto found = object.find("idempotent"); found != object.end()) {
        if (!found->is_boolean()) {
            return bad_key("idempotent", "true, false");
        }
        request.idempotent = found->get<bool>();
    }
    if (const auto found = object.find("body"); found != object.end()) {
        // Anything but a text is passed to the host as JSON text.
        request.body = found->is_string() ? found->get<std::string>() : dump(*found);
    }
    return request;
}

std::string to_json_text(const client_request& request) {
    json object{{"service", request.service},
                {"id", request.id},
                {"deadline_ms", request.deadline_ms},
                {"idempotent", request.idempotent},
                {"first_sent_ms", request.first_sent_ms},
                {"body", request.body}};
    if (request.urgency) {
        object["class"] = to_string(*request.urgency);
    }
    if (request.attempt) {
        object["attempt"] = *request.attempt;
    }
    return dump(object);
}

std::string to_json_text(const request_answer& answer) {
    return dump(json{{"outcome", to_string(answer.outcome)},
                     {"reason", answer.reason},
                     {"retry_after_ms", answer.retry_after_ms},
                     {"body", answer.body}});
}

result<request_answer> parse_request_answer(const std::string& text) {
    const auto object = json::parse(text, nullptr, false);
    std::string outcome;
    request_answer answer;
    if (!object.is_object() || !read_text(object, "outcome", outcome) ||
        !read_text(object, "reason", answer.reason) || !read_text(object, "body", answer.body) ||
        !read_integer(object, "retry_after_ms", answer.retry_after_ms)) {
        return fail(error_kind::malformed, "the answer of an entry VM is incomplete");
    }
    const auto parsed = parse_outcome(outcome);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    answer.outcome = *parsed;
    return answer;
}

std::string to_run_text(const client_request& request) {
    return dump(json{{"id", request.id},
                     {"service", request.service},
                     {"deadline_ms", request.deadline_ms},
                     {"body", request.body}});
}

result<host_answer> parse_host_answer(int status, const std::string& text, const std::string& id) {
    const auto object = json::parse(text, nullptr, false);
    std::string outcome;
    if (!object.is_object() || !read_text(object, "outcome", outcome)) {
        return fail(error_kind::malformed, "the host's answer is cut or not JSON");
    }
    if (status == 503 && outcome == "refused") {
        return host_answer{.refused = true};
    }
    std::string answered_id;
    std::int64_t length = -1;
    host_answer answer;
    if (status != 200 || outcome != "answered" || !read_text(object, "id", answered_id) ||
        !read_integer(object, "length", length) || !read_text(object, "body", answer.body)) {
        return fail(error_kind::malformed, "the host's answer lacks outcome, id, length or body");
    }
    if (answered_id != id) {
        return fail(error_kind::malformed, "the host answered another request");
    }
    if (length != static_cast<std::int64_t>(answer.body.size())) {
        return fail(error_kind::malformed, "the host's answer is shorter or longer than it states");
    }
    return answer;
}

const char* to_string(request_outcome outcome) noexcept {
    switch (outcome) {
        case request_outcome::answered:
            return "answered";
        case request_outcome::not_run:
            return "not_run";
        case request_outcome::outcome_unknown:
            break;
    }
    return "outcome_unknown";
}

}  // namespace guavaramp
