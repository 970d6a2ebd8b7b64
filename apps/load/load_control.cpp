#include "load_control.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>
#include <utility>
#include <vector>

namespace guavaramp {
namespace {

using nlohmann::json;

endpoint endpoint_at(const json& body, const char* key) {
    const auto parsed = parse_endpoint(body.at(key).get<std::string>());
    if (!parsed) {
        throw std::invalid_argument{std::string{key} + ": " + parsed.error().message};
    }
    return *parsed;
}

std::chrono::milliseconds delay_in(const json& body) {
    return std::chrono::milliseconds{body.value("after_ms", 0)};
}

group_options group_in(const json& body) {
    group_options options;
    options.name = body.at("name").get<std::string>();
    options.service = endpoint_at(body, "service");
    options.target = body.at("target").get<std::size_t>();
    options.open_rate = body.value("open_rate", options.open_rate);
    options.message_interval_ms = body.value("message_interval_ms", options.message_interval_ms);
    options.lifetime_ms = body.value("lifetime_ms", options.lifetime_ms);
    options.payload_bytes = body.value("payload_bytes", options.payload_bytes);
    options.answer_limit =
        std::chrono::milliseconds{body.value("answer_limit_ms", options.answer_limit.count())};
    return options;
}

stream_options stream_in(const json& body) {
    stream_options options;
    options.name = body.at("name").get<std::string>();
    options.service = body.at("service").get<std::string>();
    options.rate = body.at("rate").get<double>();
    options.urgency = body.value("class", options.urgency);
    options.deadline_ms = body.value("deadline_ms", options.deadline_ms);
    options.idempotent = body.value("idempotent", options.idempotent);
    options.body_bytes = body.value("body_bytes", options.body_bytes);
    options.retries.max_attempts = body.value("max_attempts", options.retries.max_attempts);
    options.retries.patience_ms = body.value("patience_ms", options.retries.patience_ms);
    options.retries.obeys_retry_after = body.value("obeys_retry_after", options.retries.obeys_retry_after);
    options.retries.retry_pause_ms = body.value("retry_pause_ms", options.retries.retry_pause_ms);
    return options;
}

/// Adds a route whose handler gets the JSON body; exceptions of the JSON library become 400 answers.
void add_json_route(http_router& router, const std::string& path,
                    const std::function<http_response(const json&)>& handler) {
    router.add("POST", path, [handler](const http_request& request, const http_responder& respond) {
        try {
            respond(handler(json::parse(request.body)));
        } catch (const std::exception& failure) {
            respond(error_response({.kind = error_kind::malformed, .message = failure.what()}));
        }
    });
}

using entry_list = std::vector<std::pair<std::string, endpoint>>;

result<entry_list> read_entries(const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        return fail(error_kind::not_found, path + ": cannot be read");
    }
    const auto body = json::parse(file, nullptr, false);
    if (!body.is_object()) {
        return fail(error_kind::malformed, path + ": found no JSON object of lists by failure domain");
    }
    entry_list list;
    for (const auto& [domain, entries] : body.items()) {
        for (const auto& text : entries) {
            const auto entry = parse_endpoint(text.is_string() ? text.get<std::string>() : "");
            if (!entry) {
                return fail(error_kind::malformed, path + ": " + domain + ": " + entry.error().message);
            }
            list.emplace_back(domain, *entry);
        }
    }
    return list;
}

template <typename Engine>
result<void> add_entries(Engine& engine, const std::string& path) {
    const auto list = read_entries(path);
    if (!list) {
        return tl::make_unexpected(list.error());
    }
    for (const auto& [domain, entry] : *list) {
        engine.add_entry(domain, entry, std::chrono::milliseconds{0});
    }
    return {};
}

template <typename Engine>
void add_fabric_routes(Engine& engine, http_router& router) {
    add_json_route(router, "/fabric/add", [&engine](const json& body) {
        engine.add_entry(body.at("domain").get<std::string>(), endpoint_at(body, "entry"), delay_in(body));
        return http_response{.body = "{}"};
    });
    add_json_route(router, "/fabric/remove", [&engine](const json& body) {
        engine.remove_entry(endpoint_at(body, "entry"), delay_in(body));
        return http_response{.body = "{}"};
    });
}

/// Adds a route that answers with the result of `read`.
void add_read_route(http_router& router, const std::string& path,
                    const std::function<json(const http_request&)>& read) {
    router.add("GET", path, [read](const http_request& request, const http_responder& respond) {
        respond({.body = read(request).dump()});
    });
}

}  // namespace

result<void> add_entries_from_file(flow_engine& engine, const std::string& path) {
    return add_entries(engine, path);
}

result<void> add_entries_from_file(request_engine& engine, const std::string& path) {
    return add_entries(engine, path);
}

void add_control_routes(flow_engine& engine, http_router& router) {
    add_fabric_routes(engine, router);
    add_json_route(router, "/groups", [&engine](const json& body) {
        engine.set_group(group_in(body));
        return http_response{.body = "{}"};
    });
    add_json_route(router, "/groups/close", [&engine](const json& body) {
        const auto name = body.at("name").get<std::string>();
        if (!engine.close_group(name)) {
            return error_response({.kind = error_kind::not_found, .message = "no group '" + name + "'"});
        }
        return http_response{.body = "{}"};
    });
    add_read_route(router, "/stats", [&engine](const http_request&) { return engine.stats(); });
    add_read_route(router, "/broken", [&engine](const http_request&) { return engine.broken(); });
    add_read_route(router, "/timeline", [&engine](const http_request&) { return engine.timeline(); });
}

void add_control_routes(request_engine& engine, http_router& router) {
    add_fabric_routes(engine, router);
    add_json_route(router, "/streams", [&engine](const json& body) {
        engine.set_stream(stream_in(body));
        return http_response{.body = "{}"};
    });
    add_read_route(router, "/stats", [&engine](const http_request&) { return engine.stats(); });
    add_read_route(router, "/timeline", [&engine](const http_request&) { return engine.timeline(); });
    add_read_route(router, "/ids", [&engine](const http_request& request) {
        const auto result = request.query.find("result");
        return engine.ids(result == request.query.end() ? "" : result->second);
    });
}

}  // namespace guavaramp
