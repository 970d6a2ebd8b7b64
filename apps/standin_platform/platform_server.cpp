#include "platform_server.hpp"

#include <guavaramp/config/model.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr auto timer_period = std::chrono::milliseconds{5};
// Longer than any client's deadline, so that a lost answer looks like silence and not like an error.
constexpr auto hold_time = std::chrono::seconds{40};
constexpr std::int64_t max_watch_ms = 30'000;
constexpr std::int64_t max_lease_ms = 600'000;
constexpr int no_content = 204;

const std::string kv_path = "/v1/kv/";
const std::string watch_path = "/v1/watch/";
const std::string lease_path = "/v1/leases/";
const std::string vm_path = "/standin/vms/";

mono_time clock_now() { return std::chrono::steady_clock::now(); }

std::uint64_t query_number(const http_request& request, const char* name, std::uint64_t fallback) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoull(found->second);
}

std::uint64_t body_number(const json& body, const char* name) {
    return body.contains(name) && !body.at(name).is_null() ? body.at(name).get<std::uint64_t>() : 0;
}

http_response json_response(const json& body, int status) { return {.status = status, .body = body.dump()}; }

http_response ok_response(const json& body) { return json_response(body, 200); }

json to_json(const stored_value& value) { return {{"value", value.value}, {"revision", value.revision}}; }

json to_json(const listed_vm& vm) {
    return {{"address", vm.address},
            {"failure_domain", vm.failure_domain},
            {"region", vm.region},
            {"leaving", vm.leaving}};
}

listed_vm vm_from_json(const json& object, const std::string& address) {
    return {.address = object.value("address", address),
            .failure_domain = object.at("failure_domain").get<std::string>(),
            .region = object.value("region", "default"),
            .leaving = object.value("leaving", false)};
}

/// Runs a handler and turns the exceptions of JSON and number parsing into answers.
template <typename Handler>
http_response guarded(Handler handler) {
    try {
        return handler();
    } catch (const std::exception& failure) {
        return error_response({.kind = error_kind::malformed, .message = failure.what()});
    }
}

}  // namespace

platform_server::platform_server(std::uint64_t seed) : random_(seed) {
    add_routes();
    add_lease_routes();
    add_standin_routes();
    timer_ = std::thread{[this] { run_timer(); }};
}

platform_server::~platform_server() {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    wake_.notify_all();
    timer_.join();
}

result<void> platform_server::load_configuration(const json& value) {
    auto config = configuration_from_json(value);
    if (!config) {
        return tl::make_unexpected(config.error());
    }
    const std::lock_guard lock{mutex_};
    const auto now = clock_now();
    const auto write = [&](const std::string& key, const json& stored) {
        return store_.put(key, stored.dump(), 0, 0, now).map([](std::uint64_t) {});
    };
    for (const auto& [name, item] : config->services) {
        if (auto written = write(service_key(name, item.revision), guavaramp::to_json(item)); !written) {
            return written;
        }
    }
    return write(head_key, guavaramp::to_json(config->head));
}

result<void> platform_server::load_vms(const json& value) {
    const std::lock_guard lock{mutex_};
    try {
        for (const auto& item : value) {
            const auto vm = vm_from_json(item, "");
            store_.set_vm(vm.address, vm, mono_time{});
        }
    } catch (const json::exception& failure) {
        return fail(error_kind::malformed, failure.what());
    }
    return {};
}

/// Whether the call is not answered now: its client is cut off, or there is an outage.
bool platform_server::withheld(const http_request& request, const http_responder& respond) {
    if (faults_.blocked_clients.contains(request.peer_address)) {
        hold(respond);
        return true;
    }
    if (faults_.outage) {
        respond(error_response({.kind = error_kind::unavailable, .message = "outage"}));
        return true;
    }
    return false;
}

void platform_server::add_platform_route(const std::string& method, const std::string& path, const char* kind,
                                         answer compute) {
    const bool writes = method != "GET";
    router_.add(method, path,
                [this, kind, writes, compute = std::move(compute)](const http_request& request,
                                                                   const http_responder& respond) {
                    const std::lock_guard lock{mutex_};
                    ++calls_[kind];
                    if (withheld(request, respond)) {
                        return;
                    }
                    auto response = guarded([&] { return compute(request); });
                    if (writes) {
                        answer_watches();
                    }
                    if (writes && faults_.lose_next_answers > 0) {
                        --faults_.lose_next_answers;
                        hold(respond);
                        return;
                    }
                    send(respond, std::move(response));
                });
}

void platform_server::add_routes() {
    add_platform_route("GET", kv_path, "get", [this](const http_request& request) {
        const auto key = request.path.substr(kv_path.size());
        const auto found = store_.get(key, clock_now());
        return found ? ok_response(to_json(*found))
                     : error_response({.kind = error_kind::not_found, .message = "no such key: " + key});
    });
    add_platform_route("PUT", kv_path, "put", [this](const http_request& request) { return put(request); });
    add_platform_route("DELETE", kv_path, "delete",
                       [this](const http_request& request) { return remove(request); });
    add_platform_route("GET", "/v1/list", "list", [this](const http_request& request) {
        const auto prefix = request.query.at("prefix");
        json keys = json::array();
        for (const auto& [key, revision] : store_.list(prefix, clock_now())) {
            keys.push_back({{"key", key}, {"revision", revision}});
        }
        return ok_response({{"keys", std::move(keys)}});
    });
    add_platform_route("GET", "/v1/vms", "vms", [this](const http_request&) {
        json list = json::array();
        for (const auto& vm : store_.vms(faults_.vm_list_lag, clock_now())) {
            list.push_back(to_json(vm));
        }
        return ok_response({{"vms", std::move(list)}});
    });
    router_.add("GET", watch_path, [this](const http_request& request, const http_responder& respond) {
        const std::lock_guard lock{mutex_};
        ++calls_["watch"];
        if (!withheld(request, respond)) {
            watch(request, respond);
        }
    });
}

http_response platform_server::conflict(const std::string& key, const error& failure) {
    if (failure.kind != error_kind::conflict) {
        return error_response(failure);
    }
    const auto current = store_.get(key, clock_now());
    json body{{"error", "conflict"}, {"message", failure.message}, {"value", nullptr}, {"revision", 0}};
    if (current) {
        body.update(to_json(*current));
    }
    return json_response(body, representation_of(error_kind::conflict).http_status);
}

http_response platform_server::put(const http_request& request) {
    const auto key = request.path.substr(kv_path.size());
    const auto body = json::parse(request.body);
    const auto written =
        store_.put(key, body.at("value").get<std::string>(), body_number(body, "if_revision"),
                   body_number(body, "lease"), clock_now());
    return written ? ok_response({{"revision", *written}}) : conflict(key, written.error());
}

http_response platform_server::remove(const http_request& request) {
    const auto key = request.path.substr(kv_path.size());
    const auto removed = store_.remove(key, query_number(request, "if_revision", 0),
                                       query_number(request, "lease", 0), clock_now());
    return removed ? ok_response(json::object()) : conflict(key, removed.error());
}

void platform_server::add_lease_routes() {
    add_platform_route("POST", "/v1/leases", "lease", [this](const http_request& request) {
        const auto body = json::parse(request.body);
        const auto duration =
            std::clamp<std::int64_t>(body.at("duration_ms").get<std::int64_t>(), 1, max_lease_ms);
        const auto id = store_.grant_lease(std::chrono::milliseconds{duration}, clock_now());
        return ok_response({{"id", id}, {"duration_ms", duration}});
    });
    add_platform_route("POST", lease_path, "lease", [this](const http_request& request) {
        const auto renewed =
            store_.renew_lease(std::stoull(request.path.substr(lease_path.size())), clock_now());
        return renewed ? ok_response(json::object()) : error_response(renewed.error());
    });
    add_platform_route("DELETE", lease_path, "lease", [this](const http_request& request) {
        store_.end_lease(std::stoull(request.path.substr(lease_path.size())));
        return ok_response(json::object());
    });
}

http_response platform_server::set_faults(const http_request& request) {
    const auto body = json::parse(request.body);
    faults_.outage = body.value("outage", faults_.outage);
    faults_.delay = std::chrono::milliseconds{body.value("delay_ms", faults_.delay.count())};
    faults_.lose_next_answers = body.value("lose_next_answers", faults_.lose_next_answers);
    faults_.vm_list_lag =
        std::chrono::milliseconds{body.value("vm_list_lag_ms", faults_.vm_list_lag.count())};
    faults_.blocked_clients = body.value("blocked_clients", faults_.blocked_clients);
    for (auto& item : watches_) {
        if (faults_.outage) {
            item.respond(error_response({.kind = error_kind::unavailable, .message = "outage"}));
        }
    }
    if (faults_.outage) {
        watches_.clear();
    }
    return ok_response({{"status", "ok"}});
}

http_response platform_server::calls() {
    json body{{"watches_waiting", watches_.size()}};
    std::uint64_t total = 0;
    for (const char* kind : {"get", "put", "delete", "list", "vms", "watch", "lease"}) {
        body[kind] = calls_[kind];
        total += calls_[kind];
    }
    body["total"] = total;
    return ok_response(body);
}

void platform_server::add_standin_routes() {
    const auto add = [this](const char* method, const std::string& path, answer compute) {
        router_.add(
            method, path,
            [this, compute = std::move(compute)](const http_request& request, const http_responder& respond) {
                const std::lock_guard lock{mutex_};
                respond(guarded([&] { return compute(request); }));
            });
    };
    add("POST", "/standin/faults", [this](const http_request& request) { return set_faults(request); });
    add("GET", "/standin/calls", [this](const http_request&) { return calls(); });
    add("PUT", vm_path, [this](const http_request& request) {
        const auto vm = vm_from_json(json::parse(request.body), request.path.substr(vm_path.size()));
        store_.set_vm(vm.address, vm, clock_now());
        return ok_response({{"status", "ok"}});
    });
    add("DELETE", vm_path, [this](const http_request& request) {
        store_.set_vm(request.path.substr(vm_path.size()), std::nullopt, clock_now());
        return ok_response({{"status", "ok"}});
    });
}

void platform_server::watch(const http_request& request, const http_responder& respond) {
    try {
        const auto timeout = std::min<std::int64_t>(
            static_cast<std::int64_t>(query_number(request, "timeout_ms", 0)), max_watch_ms);
        watches_.push_back({.key = request.path.substr(watch_path.size()),
                            .after = query_number(request, "after", 0),
                            .deadline = clock_now() + std::chrono::milliseconds{timeout},
                            .respond = respond});
    } catch (const std::exception& failure) {
        respond(error_response({.kind = error_kind::malformed, .message = failure.what()}));
        return;
    }
    answer_watches();
}

/// Answers the watches whose key has changed or whose time is over.
void platform_server::answer_watches() {
    const auto now = clock_now();
    std::erase_if(watches_, [&](const waiting_watch& item) {
        const auto current = store_.get(item.key, now);
        if (current && current->revision > item.after) {
            send(item.respond, ok_response(to_json(*current)));
            return true;
        }
        if (item.deadline <= now) {
            item.respond({.status = no_content});
            return true;
        }
        return false;
    });
}

void platform_server::send(const http_responder& respond, http_response response) {
    if (faults_.delay.count() == 0) {
        respond(std::move(response));
        return;
    }
    const double factor = std::uniform_real_distribution<double>{0.5, 1.5}(random_);
    const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(faults_.delay * factor);
    delayed_.emplace(clock_now() + delay, [respond, response = std::move(response)] { respond(response); });
}

/// Keeps the connection open without an answer until the client has given up.
void platform_server::hold(const http_responder& respond) {
    delayed_.emplace(clock_now() + hold_time, [respond] {});
}

void platform_server::run_timer() {
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        wake_.wait_for(lock, timer_period);
        answer_watches();
        const auto due = delayed_.upper_bound(clock_now());
        for (auto it = delayed_.begin(); it != due; ++it) {
            it->second();
        }
        delayed_.erase(delayed_.begin(), due);
    }
}

}  // namespace guavaramp
