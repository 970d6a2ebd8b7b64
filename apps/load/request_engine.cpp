#include "request_engine.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace guavaramp {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto step_period = milliseconds{1};
constexpr auto interval_length = milliseconds{100};
// An answer that arrives after the deadline is waited for and counted as late.
constexpr std::int64_t late_answer_ms = 1000;
constexpr std::array all_results{
    request_result::pending, request_result::answered,        request_result::late,     request_result::wrong,
    request_result::not_run, request_result::outcome_unknown, request_result::no_answer};

mono_time now_mono() { return std::chrono::steady_clock::now(); }

std::int64_t now_unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

attempt_end read_answer(const http_outcome& outcome, std::string& reason) {
    if (!outcome.response) {
        reason = representation_of(outcome.response.error().kind).name;
        return {};
    }
    const auto body = json::parse(outcome.response->body, nullptr, false);
    if (!body.is_object()) {
        return {};
    }
    try {
        reason = body.value("reason", body.value("error", std::string{}));
        return {.has_answer = true,
                .outcome = body.value("outcome", std::string{}),
                .body = body.value("body", std::string{}),
                .retry_after_ms = body.value("retry_after_ms", std::int64_t{0})};
    } catch (const json::exception&) {
        return {};
    }
}

}  // namespace

request_engine::request_engine(std::uint16_t entry_http_port, std::uint64_t seed, std::size_t clients,
                               std::size_t max_in_progress)
    : entry_http_port_(entry_http_port),
      seed_(seed),
      max_in_progress_(max_in_progress),
      random_(seed),
      started_(now_mono()),
      started_unix_ms_(now_unix_ms()) {
    for (std::size_t index = 0; index < std::max<std::size_t>(clients, 1); ++index) {
        clients_.push_back(std::make_unique<http_client>());
    }
    thread_ = std::thread{[this] { run(); }};
}

request_engine::~request_engine() {
    stopped_ = true;
    thread_.join();
    clients_.clear();
}

void request_engine::run() {
    while (!stopped_) {
        std::this_thread::sleep_for(step_period);
        const std::lock_guard lock{mutex_};
        const auto now = now_mono();
        fabric_.advance(now);
        make_arrivals(now);
        send_retries();
    }
}

void request_engine::make_arrivals(mono_time now) {
    for (std::size_t index = 0; index < streams_.size(); ++index) {
        while (streams_[index].options.rate > 0.0 && streams_[index].next_arrival <= now) {
            auto& stream = streams_[index];
            const double gap_s = std::exponential_distribution<double>{stream.options.rate}(random_);
            stream.next_arrival +=
                std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>{gap_s});
            arrive(index, now);
        }
    }
}

void request_engine::arrive(std::size_t stream_index, mono_time now) {
    auto& stream = streams_[stream_index];
    ++interval_at(stream, now).arrived;
    const auto sequence = stream.arrivals++;
    if (active_.size() >= max_in_progress_) {
        ++stream.not_sent;
        return;
    }
    const auto number = next_number_++;
    auto& active = active_[number];
    active.stream = stream_index;
    active.arrived = now;
    auto& request = active.request;
    request.id = stream.options.name + "-" + std::to_string(seed_) + "-" + std::to_string(sequence);
    request.body = "body of " + request.id + " ";
    request.body.resize(std::max(request.body.size(), stream.options.body_bytes), '.');
    request.first_sent_ms = now_unix_ms();
    request.deadline_ms = request.first_sent_ms + stream.options.deadline_ms;
    ++stream.in_progress;
    send(number, active);
}

void request_engine::send_retries() {
    const auto now_ms = now_unix_ms();
    while (!retries_.empty() && retries_.top().at_ms <= now_ms) {
        const auto number = retries_.top().number;
        retries_.pop();
        send(number, active_.at(number));
    }
}

void request_engine::send(std::uint64_t number, active_request& active) {
    auto& stream = streams_[active.stream];
    const auto& options = stream.options;
    auto& request = active.request;
    const auto* entry = fabric_.choose("", random_);
    ++request.attempts;
    ++stream.attempts;
    if (entry == nullptr) {
        request.result = request_result::no_answer;
        finish(number, active);
        return;
    }
    auto wait = milliseconds{request.deadline_ms - now_unix_ms() + late_answer_ms};
    if (options.retries.patience_ms > 0) {
        wait = std::min(wait, milliseconds{options.retries.patience_ms});
    }
    const json body{{"service", options.service},
                    {"id", request.id},
                    {"class", options.urgency},
                    {"deadline_ms", request.deadline_ms},
                    {"idempotent", options.idempotent},
                    {"attempt", request.attempts - 1},
                    {"first_sent_ms", request.first_sent_ms},
                    {"body", request.body}};
    http_call call{.method = "POST",
                   .url = "http://" + to_string(endpoint{entry->address, entry_http_port_}) + "/v1/requests",
                   .body = body.dump(),
                   .deadline = now_mono() + wait};
    clients_[number % clients_.size()]->start(
        std::move(call), [this, number](const http_outcome& outcome) { end(number, outcome); });
}

void request_engine::end(std::uint64_t number, const http_outcome& outcome) {
    std::string reason;
    const auto attempt = read_answer(outcome, reason);
    const std::lock_guard lock{mutex_};
    const auto found = active_.find(number);
    if (found == active_.end() || stopped_) {
        return;
    }
    auto& active = found->second;
    auto& stream = streams_[active.stream];
    const auto retry_ms = end_attempt(active.request, stream.options.retries, attempt, now_unix_ms());
    if (active.request.result != request_result::answered) {
        ++stream.not_run_reasons[reason];
    }
    if (retry_ms) {
        retries_.push({.at_ms = *retry_ms, .number = number});
        return;
    }
    finish(number, active);
}

void request_engine::finish(std::uint64_t number, active_request& active) {
    auto& stream = streams_[active.stream];
    const auto result = active.request.result;
    ++stream.results[static_cast<std::size_t>(result)];
    --stream.in_progress;
    if (result == request_result::answered) {
        const auto now = now_mono();
        ++interval_at(stream, active.arrived).good;
        ++interval_at(stream, now).completed;
        stream.latency.add(std::chrono::duration_cast<std::chrono::microseconds>(now - active.arrived));
    }
    results_[active.request.id] = result;
    active_.erase(number);
}

request_engine::interval_counts& request_engine::interval_at(stream_state& stream, mono_time when) const {
    const auto index = static_cast<std::size_t>((when - started_) / interval_length);
    if (index >= stream.intervals.size()) {
        stream.intervals.resize(index + 1);
    }
    return stream.intervals[index];
}

void request_engine::set_stream(const stream_options& options) {
    const std::lock_guard lock{mutex_};
    auto found = std::ranges::find_if(
        streams_, [&options](const stream_state& stream) { return stream.options.name == options.name; });
    if (found == streams_.end()) {
        streams_.emplace_back();
        found = streams_.end() - 1;
    }
    found->options = options;
    found->next_arrival = now_mono();
}

void request_engine::add_entry(const std::string& domain, const endpoint& entry, milliseconds delay) {
    const std::lock_guard lock{mutex_};
    fabric_.add(domain, entry, now_mono() + delay);
}

void request_engine::remove_entry(const endpoint& entry, milliseconds delay) {
    const std::lock_guard lock{mutex_};
    fabric_.remove(entry, now_mono() + delay);
}

json request_engine::stats() {
    const std::lock_guard lock{mutex_};
    json streams = json::object();
    for (const auto& stream : streams_) {
        json item{{"arrivals", stream.arrivals},
                  {"not_sent", stream.not_sent},
                  {"attempts", stream.attempts},
                  {"in_progress", stream.in_progress},
                  {"p50_ms", stream.latency.quantile_ms(0.5)},
                  {"p99_ms", stream.latency.quantile_ms(0.99)},
                  {"reasons", stream.not_run_reasons}};
        for (const auto result : all_results) {
            item[to_string(result)] = stream.results[static_cast<std::size_t>(result)];
        }
        streams[stream.options.name] = std::move(item);
    }
    return {{"streams", std::move(streams)}, {"distinct_ids", results_.size() + active_.size()}};
}

json request_engine::timeline() {
    const std::lock_guard lock{mutex_};
    json streams = json::object();
    for (const auto& stream : streams_) {
        json list = json::array();
        for (const auto& item : stream.intervals) {
            list.push_back({item.arrived, item.good, item.completed});
        }
        streams[stream.options.name] = std::move(list);
    }
    return {{"start_ms", started_unix_ms_},
            {"interval_ms", interval_length.count()},
            {"arrived_good_completed", std::move(streams)}};
}

json request_engine::ids(const std::string& result) {
    const std::lock_guard lock{mutex_};
    json list = json::array();
    for (const auto& [id, value] : results_) {
        if (result == to_string(value)) {
            list.push_back(id);
        }
    }
    return {{"ids", std::move(list)}};
}

}  // namespace guavaramp
