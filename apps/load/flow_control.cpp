#include "flow_control.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <functional>

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

}  // namespace

result<void> add_entries_from_file(flow_engine& engine, const std::string& path) {
    std::ifstream file{path};
    if (!file) {
        return fail(error_kind::not_found, path + ": cannot be read");
    }
    const auto body = json::parse(file, nullptr, false);
    if (!body.is_object()) {
        return fail(error_kind::malformed, path + ": found no JSON object of lists by failure domain");
    }
    for (const auto& [domain, entries] : body.items()) {
        for (const auto& text : entries) {
            const auto entry = parse_endpoint(text.is_string() ? text.get<std::string>() : "");
            if (!entry) {
                return fail(error_kind::malformed, path + ": " + domain + ": " + entry.error().message);
            }
            engine.add_entry(domain, *entry, std::chrono::milliseconds{0});
        }
    }
    return {};
}

void add_control_routes(flow_engine& engine, http_router& router) {
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
    add_json_route(router, "/fabric/add", [&engine](const json& body) {
        engine.add_entry(body.at("domain").get<std::string>(), endpoint_at(body, "entry"), delay_in(body));
        return http_response{.body = "{}"};
    });
    add_json_route(router, "/fabric/remove", [&engine](const json& body) {
        engine.remove_entry(endpoint_at(body, "entry"), delay_in(body));
        return http_response{.body = "{}"};
    });
    router.add("GET", "/stats", [&engine](const http_request&, const http_responder& respond) {
        respond({.body = engine.stats().dump()});
    });
    router.add("GET", "/broken", [&engine](const http_request&, const http_responder& respond) {
        respond({.body = engine.broken().dump()});
    });
    router.add("GET", "/timeline", [&engine](const http_request&, const http_responder& respond) {
        respond({.body = engine.timeline().dump()});
    });
}

}  // namespace guavaramp
