#include <guavaramp/base/hash.hpp>
#include <guavaramp/telemetry/trace.hpp>

#include <opentracing/mocktracer/json.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <sstream>
#include <utility>

namespace guavaramp {
namespace {

constexpr std::size_t id_digits = 16;  // hexadecimal digits of a trace or span id

std::optional<std::uint64_t> parse_id(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error_code] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    const bool is_complete = error_code == std::errc{} && end == text.data() + text.size();
    return is_complete ? std::optional{value} : std::nullopt;
}

}  // namespace

std::string to_string(const trace_context& context) {
    std::array<char, 2 * id_digits + 2> text{};
    std::snprintf(text.data(), text.size(), "%016llx-%016llx",
                  static_cast<unsigned long long>(context.trace_id),
                  static_cast<unsigned long long>(context.span_id));
    return text.data();
}

std::optional<trace_context> parse_trace_context(std::string_view text) {
    if (text.size() != 2 * id_digits + 1 || text[id_digits] != '-') {
        return std::nullopt;
    }
    const auto trace_id = parse_id(text.substr(0, id_digits));
    const auto span_id = parse_id(text.substr(id_digits + 1));
    if (!trace_id || !span_id) {
        return std::nullopt;
    }
    return trace_context{.trace_id = *trace_id, .span_id = *span_id};
}

trace_span::trace_span(tracer& recorder, std::string operation, std::optional<trace_context> parent)
    : recorder_(recorder),
      operation_(std::move(operation)),
      parent_(parent),
      started_wall_time_(std::chrono::system_clock::now()),
      started_mono_time_(std::chrono::steady_clock::now()) {
    context_.span_id = recorder.next_id();
    context_.trace_id = parent ? parent->trace_id : context_.span_id;
}

trace_span::~trace_span() {
    recorder_.record({.operation = std::move(operation_),
                      .context = context_,
                      .parent = parent_,
                      .started_at = started_wall_time_,
                      .duration = std::chrono::steady_clock::now() - started_mono_time_,
                      .tags = std::move(tags_)});
}

std::uint64_t tracer::next_id() noexcept { return mix_hashes(seed_, ++generated_ids_); }

void tracer::record(finished_span span) {
    const std::lock_guard lock{mutex_};
    spans_.push_back(std::move(span));
    if (spans_.size() > max_spans_) {
        spans_.pop_front();
    }
}

std::string tracer::to_json() const {
    std::vector<opentracing::mocktracer::SpanData> span_data;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& span : spans_) {
            opentracing::mocktracer::SpanData data;
            data.span_context = {
                .trace_id = span.context.trace_id, .span_id = span.context.span_id, .baggage = {}};
            if (span.parent) {
                data.references.push_back({.reference_type = opentracing::SpanReferenceType::ChildOfRef,
                                           .trace_id = span.parent->trace_id,
                                           .span_id = span.parent->span_id});
            }
            data.operation_name = span.operation;
            data.start_timestamp = span.started_at;
            data.duration = span.duration;
            for (const auto& [name, value] : span.tags) {
                data.tags.emplace(name, opentracing::Value{value});
            }
            span_data.push_back(std::move(data));
        }
    }
    std::ostringstream text;
    opentracing::mocktracer::ToJson(text, span_data);
    return text.str();
}

}  // namespace guavaramp
