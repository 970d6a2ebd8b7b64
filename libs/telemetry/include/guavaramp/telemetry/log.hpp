#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace guavaramp {

enum class log_level { info, warning, error };

/// The level that a settings file names "info", "warning" or "error"; `info` for any other text. Thread-safe.
[[nodiscard]] log_level parse_log_level(std::string_view text) noexcept;

/// A named value of a log line.
using log_field = std::pair<const char*, std::string>;

/// Sets up the process's log: one JSON object a line on standard output, written by a background thread
/// (spdlog async) so that no duty waits for the terminal. Call once at start, before any thread. `program`
/// names the process.
void start_log(const std::string& program, log_level least);

/// Writes a line for a change of state. Per-packet and per-request facts are counters, not lines. `event` is
/// a constant snake_case name, the same for every occurrence. Thread-safe.
void log_event(log_level level, const char* event, std::initializer_list<log_field> fields = {});

/// Writes what is queued and stops the background thread. Call once before the process ends.
void stop_log();

}  // namespace guavaramp
