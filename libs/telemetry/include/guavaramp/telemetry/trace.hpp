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

/// Identifies a span of a distributed trace across processes.
struct trace_context {
    std::uint64_t trace_id{0};
    std::uint64_t span_id{0};

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

/// Name of the HTTP header that carries a trace context from hop to hop, in lower case as received.
inline constexpr const char* trace_header = "x-trace-context";

/// Returns "TRACE_ID-SPAN_ID", each id as 16 hexadecimal digits. Thread-safe.
[[nodiscard]] std::string to_string(const trace_context& context);

/// Parses the format that `to_string` writes; returns nothing for any other text. Thread-safe.
[[nodiscard]] std::optional<trace_context> parse_trace_context(std::string_view text);

class tracer;

/// A span of a trace: the work of one hop. It starts when constructed, and ends and is recorded in the tracer
/// when destroyed. Not thread-safe: one thread owns a span. Precondition: the tracer outlives the span.
class trace_span {
public:
    /// Starts a span of `operation`: a child of `parent`, or the root of a new trace if there is no parent.
    trace_span(tracer& recorder, std::string operation, std::optional<trace_context> parent);
    ~trace_span();
    trace_span(const trace_span&) = delete;
    trace_span& operator=(const trace_span&) = delete;

    [[nodiscard]] const trace_context& context() const noexcept { return context_; }

    /// Sets the tag `name` of the span, for example the peer's address or the outcome, to `value`.
    void set_tag(const std::string& name, std::string value) { tags_[name] = std::move(value); }

private:
    friend class tracer;

    tracer& recorder_;
    std::string operation_;
    trace_context context_;
    std::optional<trace_context> parent_;
    std::chrono::system_clock::time_point started_wall_time_;
    std::chrono::steady_clock::time_point started_mono_time_;
    std::map<std::string, std::string> tags_;
};

/// Keeps the newest `max_spans` finished spans. The JSON recorder of the OpenTracing mock tracer keeps all
/// spans until it is closed, so this class uses only its JSON format. Thread-safe.
class tracer {
public:
    /// `seed` must differ between processes, so that their trace and span ids differ.
    explicit tracer(std::uint64_t seed, std::size_t max_spans = 4096) : seed_(seed), max_spans_(max_spans) {}

    /// Returns the kept spans, oldest first, in the format of the mock tracer's JSON recorder.
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
    std::atomic<std::uint64_t> generated_ids_{0};
    mutable std::mutex mutex_;
    std::deque<finished_span> spans_;
};

}  // namespace guavaramp
