#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace guavaramp {

/// Identifies a span across processes.
struct trace_context {
    std::uint64_t trace_id{0};
    std::uint64_t span_id{0};

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// HTTP header that carries a context from hop to hop, in lower case as received.
inline constexpr const char* trace_header = "x-trace-context";

/// "trace id-span id", both as 16 hexadecimal digits. Thread-safe.
[[nodiscard]] std::string to_string(const trace_context& context);

/// Inverse of `to_string`; nothing for any other text. Thread-safe.
[[nodiscard]] std::optional<trace_context> parse_trace_context(std::string_view text);

class tracer;

/// One hop's share of a trace; recorded when destroyed. One thread owns a span. The tracer outlives it.
class trace_span {
public:
    trace_span(tracer& owner, std::string operation, std::optional<trace_context> parent);
    ~trace_span();
    trace_span(const trace_span&) = delete;
    trace_span& operator=(const trace_span&) = delete;

    [[nodiscard]] const trace_context& context() const noexcept { return context_; }

    /// Sets a named value, for example the peer's address or the outcome.
    void set_tag(const std::string& name, std::string value) { tags_[name] = std::move(value); }

private:
    friend class tracer;

    tracer& owner_;
    std::string operation_;
    trace_context context_;
    std::optional<trace_context> parent_;
    std::chrono::system_clock::time_point started_at_;
    std::chrono::steady_clock::time_point started_;
    std::map<std::string, std::string> tags_;
};

/// Keeps the newest finished spans. The JSON recorder of the OpenTracing mock tracer keeps all spans until it
/// is closed, so only its JSON form is used here. Thread-safe.
class tracer {
public:
    /// `seed` differs between processes, so that their ids do.
    explicit tracer(std::uint64_t seed, std::size_t max_spans = 4096) : seed_(seed), max_spans_(max_spans) {}

    /// The spans held, oldest first, as the mock tracer's JSON recorder writes them.
    [[nodiscard]] std::string to_json() const;

private:
    friend class trace_span;

    struct finished_span {
        std::string operation;
        trace_context context;
        std::optional<trace_context> parent;
        std::chrono::system_clock::time_point started_at;
        std::chrono::steady_clock::duration duration;
        std::map<std::string, std::string> tags;
    };

    [[nodiscard]] std::uint64_t next_id() noexcept;
    void record(finished_span span);

    std::uint64_t seed_;
    std::size_t max_spans_;
    std::atomic<std::uint64_t> ids_{0};
    mutable std::mutex mutex_;
    std::deque<finished_span> spans_;
};

}  // namespace guavaramp
