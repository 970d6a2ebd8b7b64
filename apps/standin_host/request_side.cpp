#include "request_side.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>
#include <unordered_map>

namespace guavaramp {
namespace {

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

// A cold host starts at a quarter of its speed, as with empty caches.
constexpr double cold_speed = 0.25;
constexpr double least_work_factor = 0.5;
constexpr double most_work_factor = 1.5;

struct piece_of_work {
    std::string id;
    std::int64_t deadline_ms{0};
    std::string body;
    http_responder respond;
    clock::time_point started{};
};

std::int64_t now_unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

clock::duration milliseconds(double value) {
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double, std::milli>(value));
}

http_response refusal(const char* reason) {
    return {.status = 503, .body = json{{"outcome", "refused"}, {"reason", reason}}.dump()};
}

std::string answer_text(const piece_of_work& done) {
    const std::string body = done.id + ":" + done.body;
    return json{{"outcome", "answered"}, {"id", done.id}, {"length", body.size()}, {"body", body}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

struct host_work::state {
    explicit state(const host_work_options& given) : options(given), random(given.seed) {}

    host_work_options options;
    std::mt19937_64 random;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping{false};
    bool draining{false};
    std::int64_t lose_next{0};
    std::int64_t truncate_next{0};
    double delay_ms{0.0};
    clock::time_point started{clock::now()};
    std::deque<piece_of_work> queue;
    std::multimap<clock::time_point, piece_of_work> running;
    std::multimap<clock::time_point, std::pair<http_responder, std::string>> delayed;
    std::unordered_map<std::string, std::int64_t> ran;
    std::int64_t executed{0};
    std::int64_t executed_twice{0};
    std::int64_t refused{0};
    std::int64_t cancelled{0};
    double busy_ms{0.0};
    std::thread thread;

    void run();
    void finish_due(clock::time_point now);
    void start_queued();
    void start_piece(piece_of_work piece);
    void send_answer(const piece_of_work& done);
    void refuse(const http_responder& respond, const char* reason);
    void accept(const http_request& request, const http_responder& respond);
    bool cancel(const std::string& id);
    void release_slot(const piece_of_work& piece);
    bool set_faults(const json& faults);
    [[nodiscard]] double current_speed() const;
    [[nodiscard]] double expected_ms() const;
    [[nodiscard]] json report(bool with_ids) const;
};

double host_work::state::current_speed() const {
    const double age_s = std::chrono::duration<double>(clock::now() - started).count();
    if (age_s >= options.cold_start_s) {
        return options.speed;
    }
    return options.speed * (cold_speed + (1.0 - cold_speed) * age_s / options.cold_start_s);
}

double host_work::state::expected_ms() const {
    const double turns = static_cast<double>(queue.size()) / options.slots;
    return options.work_ms / current_speed() * (1.0 + turns);
}

void host_work::state::refuse(const http_responder& respond, const char* reason) {
    ++refused;
    respond(refusal(reason));
}

void host_work::state::accept(const http_request& request, const http_responder& respond) {
    const auto object = json::parse(request.body, nullptr, false);
    if (!object.is_object() || !object.contains("id") || !object["id"].is_string()) {
        respond({.status = 400, .body = R"({"error":"malformed","message":"id: allowed a text"})"});
        return;
    }
    piece_of_work piece{.id = object["id"].get<std::string>(),
                        .deadline_ms = object.value("deadline_ms", std::int64_t{0}),
                        .body = object.value("body", std::string{}),
                        .respond = respond};
    const std::lock_guard lock{mutex};
    const bool full = running.size() >= static_cast<std::size_t>(options.slots);
    if (draining) {
        refuse(respond, "draining");
    } else if (full && queue.size() >= options.queue_limit) {
        refuse(respond, "busy");
    } else if (static_cast<double>(now_unix_ms()) + expected_ms() > static_cast<double>(piece.deadline_ms)) {
        refuse(respond, "deadline");
    } else {
        queue.push_back(std::move(piece));
        start_queued();
        changed.notify_one();
    }
}

void host_work::state::start_queued() {
    while (!queue.empty() && running.size() < static_cast<std::size_t>(options.slots)) {
        auto piece = std::move(queue.front());
        queue.pop_front();
        if (now_unix_ms() >= piece.deadline_ms) {
            refuse(piece.respond, "deadline");
            continue;
        }
        start_piece(std::move(piece));
    }
}

void host_work::state::start_piece(piece_of_work piece) {
    ++executed;
    if (++ran[piece.id] > 1) {
        ++executed_twice;
    }
    std::uniform_real_distribution<double> factor{least_work_factor, most_work_factor};
    piece.started = clock::now();
    const auto end = piece.started + milliseconds(options.work_ms * factor(random) / current_speed());
    running.emplace(end, std::move(piece));
}

void host_work::state::release_slot(const piece_of_work& piece) {
    busy_ms += std::chrono::duration<double, std::milli>(clock::now() - piece.started).count();
}

void host_work::state::finish_due(clock::time_point now) {
    while (!running.empty() && running.begin()->first <= now) {
        const auto node = running.extract(running.begin());
        release_slot(node.mapped());
        send_answer(node.mapped());
    }
    while (!delayed.empty() && delayed.begin()->first <= now) {
        const auto node = delayed.extract(delayed.begin());
        node.mapped().first({.body = node.mapped().second});
    }
}

void host_work::state::send_answer(const piece_of_work& done) {
    if (lose_next > 0) {
        --lose_next;
        return;
    }
    auto text = answer_text(done);
    if (truncate_next > 0) {
        --truncate_next;
        text.resize(text.size() / 2);
    }
    if (delay_ms > 0.0) {
        delayed.emplace(clock::now() + milliseconds(delay_ms), std::make_pair(done.respond, std::move(text)));
        return;
    }
    done.respond({.body = std::move(text)});
}

bool host_work::state::cancel(const std::string& id) {
    const std::lock_guard lock{mutex};
    const auto waiting = std::find_if(queue.begin(), queue.end(),
                                      [&id](const piece_of_work& piece) { return piece.id == id; });
    if (waiting != queue.end()) {
        ++cancelled;
        refuse(waiting->respond, "cancelled");
        queue.erase(waiting);
        return true;
    }
    const auto active = std::find_if(running.begin(), running.end(),
                                     [&id](const auto& item) { return item.second.id == id; });
    if (active == running.end()) {
        return false;
    }
    ++cancelled;
    release_slot(active->second);
    active->second.respond({.status = 499, .body = json{{"outcome", "cancelled"}, {"id", id}}.dump()});
    running.erase(active);
    start_queued();
    changed.notify_one();
    return true;
}

bool host_work::state::set_faults(const json& faults) {
    if (!faults.is_object()) {
        return false;
    }
    try {
        const std::lock_guard lock{mutex};
        lose_next = faults.value("lose_next_answers", lose_next);
        truncate_next = faults.value("truncate_next_answers", truncate_next);
        delay_ms = faults.value("delay_answers_ms", delay_ms);
        options.speed = std::max(0.001, faults.value("speed", options.speed));
        draining = faults.value("draining", draining);
    } catch (const json::exception&) {
        return false;
    }
    return true;
}

json host_work::state::report(bool with_ids) const {
    json value{{"executed", executed},
               {"executed_twice", executed_twice},
               {"refused", refused},
               {"cancelled", cancelled},
               {"busy_ms", busy_ms}};
    if (with_ids) {
        auto& ids = value["ids"] = json::array();
        for (const auto& [id, count] : ran) {
            ids.push_back(id);
        }
    }
    return value;
}

void host_work::state::run() {
    std::unique_lock lock{mutex};
    while (!stopping) {
        finish_due(clock::now());
        start_queued();
        auto wake = clock::now() + std::chrono::seconds{1};
        if (!running.empty()) {
            wake = std::min(wake, running.begin()->first);
        }
        if (!delayed.empty()) {
            wake = std::min(wake, delayed.begin()->first);
        }
        changed.wait_until(lock, wake);
    }
}

host_work::host_work(const host_work_options& options) : state_(std::make_unique<state>(options)) {
    state_->thread = std::thread{[this] { state_->run(); }};
}

host_work::~host_work() {
    {
        const std::lock_guard lock{state_->mutex};
        state_->stopping = true;
    }
    state_->changed.notify_one();
    state_->thread.join();
}

void host_work::add_routes(http_router& router, bool false_health) {
    auto& work = *state_;
    router.add("POST", "/run", [&work](const http_request& request, const http_responder& respond) {
        work.accept(request, respond);
    });
    router.add("POST", "/cancel", [&work](const http_request& request, const http_responder& respond) {
        const auto object = json::parse(request.body, nullptr, false);
        const bool named = object.is_object() && object.contains("id") && object["id"].is_string();
        const bool found = named && work.cancel(object["id"].get<std::string>());
        respond({.body = json{{"cancelled", found}}.dump()});
    });
    router.add("GET", "/ran", [&work](const http_request& request, const http_responder& respond) {
        const std::lock_guard lock{work.mutex};
        respond({.body = work.report(request.query.contains("ids")).dump()});
    });
    router.add("GET", "/health", [&work, false_health](const http_request&, const http_responder& respond) {
        const std::lock_guard lock{work.mutex};
        const bool healthy = false_health || !work.draining;
        respond({.status = healthy ? 200 : 503, .body = json{{"healthy", healthy}}.dump()});
    });
    router.add("GET", "/load", [&work, false_health](const http_request&, const http_responder& respond) {
        const std::lock_guard lock{work.mutex};
        const auto busy = false_health ? 0 : work.running.size();
        const auto waiting = false_health ? 0 : work.queue.size();
        respond({.body = json{{"slots", work.options.slots}, {"busy", busy}, {"queued", waiting}}.dump()});
    });
    router.add("POST", "/standin/faults",
               [&work](const http_request& request, const http_responder& respond) {
                   const bool valid = work.set_faults(json::parse(request.body, nullptr, false));
                   respond({.status = valid ? 200 : 400, .body = json{{"accepted", valid}}.dump()});
               });
}

request_side::request_side(const request_side_options& options)
    : work_(options.shared_work ? options.shared_work : std::make_shared<host_work>(options.work)),
      router_(std::make_unique<http_router>()) {
    work_->add_routes(*router_, options.false_health);
    auto server =
        start_http_server({.local = options.listen},
                          [router = router_.get()](http_request request, const http_responder& respond) {
                              router->handle(std::move(request), respond);
                          });
    if (!server) {
        throw std::runtime_error{server.error().message};
    }
    server_ = *std::move(server);
}

}  // namespace guavaramp
