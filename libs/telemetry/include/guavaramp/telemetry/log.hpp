#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace guavaramp {

/// Severity of a log line, in ascending order.
enum class log_level { info, warning, error };

/// Returns the level that a settings file calls "info", "warning" or "error"; `info` for any other text.
/// Thread-safe.
[[nodiscard]] log_level parse_log_level(std::string_view text) noexcept;

/// A field of a log line: its name and value.
using log_field = std::pair<const char*, std::string>;

/// Starts the log of the process, which writes one JSON object per line to standard output. A background
/// thread (spdlog async) writes the lines, so that a thread that logs never waits for the terminal. Call this
/// function once at process start, before any thread is started. `program` is the program's name in each
/// line; lines below `min_level` are discarded.
void start_log(const std::string& program, log_level min_level);

/// Logs an event. Events that occur for every packet are counted instead of logged, and lines about single
/// decisions are rate-limited by the caller. `event` is a constant snake_case name, the same for every
/// occurrence. Thread-safe.
void log_event(log_level level, const char* event, std::initializer_list<log_field> fields = {});

/// Writes the queued lines and stops the background thread. Call this function once before the process ends.
void stop_log();

}  // namespace guavaramp
