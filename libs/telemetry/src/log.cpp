#include <guavaramp/telemetry/log.hpp>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace guavaramp {
namespace {

/// Capacity of the queue of lines that the background thread has not yet written. Each line takes about 400
/// bytes.
constexpr std::size_t max_queued_lines = 512;

spdlog::level::level_enum to_spdlog(log_level level) noexcept {
    switch (level) {
        case log_level::info:
            return spdlog::level::info;
        case log_level::warning:
            return spdlog::level::warn;
        case log_level::error:
            return spdlog::level::err;
    }
    return spdlog::level::err;
}

}  // namespace

log_level parse_log_level(std::string_view text) noexcept {
    if (text == "error") {
        return log_level::error;
    }
    return text == "warning" ? log_level::warning : log_level::info;
}

void start_log(const std::string& program, log_level min_level) {
    spdlog::init_thread_pool(max_queued_lines, 1);
    // If the queue is full, the logger drops the oldest line instead of blocking the thread that logs.
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(program);
    logger->set_level(to_spdlog(min_level));
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","program":"%n",%v})");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void log_event(log_level level, const char* event, std::initializer_list<log_field> fields) {
    if (!spdlog::should_log(to_spdlog(level))) {
        return;
    }
    nlohmann::ordered_json line{{"event", event}};
    for (const auto& [name, value] : fields) {
        line[name] = value;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    // The braces of the JSON object are removed here because the pattern set by `start_log` adds them.
    spdlog::log(to_spdlog(level), "{}", std::string_view{text}.substr(1, text.size() - 2));
}

void stop_log() { spdlog::shutdown(); }

}  // namespace guavaramp
