#include <guavaramp/record/language.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t ms_per_day = 86'400'000;
// A hundred years; longer spans are typing mistakes and could overflow a date.
constexpr std::int64_t longest_span_ms = 36'525 * ms_per_day;

struct unit {
    std::string_view name;
    std::int64_t ms;
};

constexpr std::array<unit, 5> units{
    {{"d", ms_per_day}, {"h", 3'600'000}, {"m", 60'000}, {"s", ms_per_second}, {"ms", 1}}};

/// Reads exactly `digits` digits at `offset`, or nothing.
std::optional<int> digits_at(std::string_view text, std::size_t offset, std::size_t digits) {
    if (offset + digits > text.size()) {
        return std::nullopt;
    }
    int value = 0;
    for (const char letter : text.substr(offset, digits)) {
        if (letter < '0' || letter > '9') {
            return std::nullopt;
        }
        value = value * 10 + (letter - '0');
    }
    return value;
}

/// "hh:mm" or "hh:mm:ss".
std::optional<std::chrono::seconds> parse_clock(std::string_view text) {
    const bool has_seconds = text.size() == 8;
    const bool shaped =
        (has_seconds || text.size() == 5) && text[2] == ':' && (!has_seconds || text[5] == ':');
    if (!shaped) {
        return std::nullopt;
    }
    const auto hours = digits_at(text, 0, 2);
    const auto minutes = digits_at(text, 3, 2);
    const auto seconds = has_seconds ? digits_at(text, 6, 2) : std::optional<int>{0};
    if (!hours || !minutes || !seconds || *hours > 23 || *minutes > 59 || *seconds > 59) {
        return std::nullopt;
    }
    return std::chrono::hours{*hours} + std::chrono::minutes{*minutes} + std::chrono::seconds{*seconds};
}

std::optional<milliseconds> parse_span(std::string_view text) {
    std::int64_t amount = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (code != std::errc{} || amount < 0) {
        return std::nullopt;
    }
    const auto name = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const auto& known : units) {
        if (name == known.name && amount <= longest_span_ms / known.ms) {
            return milliseconds{amount * known.ms};
        }
    }
    return std::nullopt;
}

/// Offset from UTC of "Z" or "+hh:mm".
std::optional<milliseconds> parse_offset(std::string_view text) {
    if (text == "Z" || text == "z") {
        return milliseconds{0};
    }
    const bool shaped = text.size() == 6 && (text[0] == '+' || text[0] == '-');
    const auto clock = shaped ? parse_clock(text.substr(1)) : std::nullopt;
    if (!clock) {
        return std::nullopt;
    }
    return text[0] == '-' ? -milliseconds{*clock} : milliseconds{*clock};
}

/// Reads ".d", ".dd" or ".ddd" at `next` and moves `next` behind it.
std::int64_t take_fraction_ms(std::string_view text, std::size_t& next) {
    std::int64_t fraction_ms = 0;
    if (text[next] != '.') {
        return fraction_ms;
    }
    ++next;
    for (std::int64_t scale = 100; scale > 0 && digits_at(text, next, 1); scale /= 10) {
        fraction_ms += *digits_at(text, next, 1) * scale;
        ++next;
    }
    return fraction_ms;
}

/// RFC 3339 section 5.6, with at most three digits of a second.
std::optional<wall_time> parse_rfc3339(std::string_view text) {
    constexpr std::size_t date_and_time_size = 19;
    const bool shaped = text.size() > date_and_time_size && text[4] == '-' && text[7] == '-' &&
                        (text[10] == 'T' || text[10] == 't');
    const auto year = digits_at(text, 0, 4);
    const auto month = digits_at(text, 5, 2);
    const auto day = digits_at(text, 8, 2);
    if (!shaped || !year || !month || !day) {
        return std::nullopt;
    }
    const auto clock = parse_clock(text.substr(11, 8));
    const std::chrono::year_month_day date{std::chrono::year{*year},
                                           std::chrono::month{static_cast<unsigned>(*month)},
                                           std::chrono::day{static_cast<unsigned>(*day)}};
    std::size_t next = date_and_time_size;
    const milliseconds fraction{take_fraction_ms(text, next)};
    const auto offset = parse_offset(text.substr(next));
    if (!clock || !date.ok() || !offset) {
        return std::nullopt;
    }
    return wall_time{std::chrono::sys_days{date}} + *clock + fraction - *offset;
}

std::string clock_text(std::chrono::seconds value) {
    const auto seconds = static_cast<int>(value.count());
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d", seconds / 3600, seconds / 60 % 60,
                  seconds % 60);
    return text.data();
}

std::string span_text(milliseconds value) {
    for (const auto& known : units) {
        if (value.count() != 0 && value.count() % known.ms == 0) {
            return std::to_string(value.count() / known.ms) + std::string{known.name};
        }
    }
    return "0s";
}

wall_time resolve_clock(std::chrono::seconds since_midnight, wall_time now,
                        time_direction direction) noexcept {
    const wall_time today = wall_time{std::chrono::floor<std::chrono::days>(now)} + since_midnight;
    if (direction == time_direction::past) {
        return today <= now ? today : today - milliseconds{ms_per_day};
    }
    return today > now ? today : today + milliseconds{ms_per_day};
}

}  // namespace

wall_time resolve_time(const time_expression& expression, wall_time now, time_direction direction) noexcept {
    if (const auto* span = std::get_if<relative_time>(&expression)) {
        return direction == time_direction::past ? now - span->amount : now + span->amount;
    }
    if (const auto* clock = std::get_if<time_of_day>(&expression)) {
        return resolve_clock(clock->since_midnight, now, direction);
    }
    return *std::get_if<wall_time>(&expression);
}

result<time_expression> parse_time(std::string_view text) {
    if (const auto span = parse_span(text)) {
        return relative_time{*span};
    }
    if (const auto clock = parse_clock(text)) {
        return time_of_day{*clock};
    }
    if (const auto absolute = parse_rfc3339(text)) {
        return *absolute;
    }
    return fail(error_kind::malformed, "expected a time such as 10m, 22:00 or 2026-12-04T22:00:00Z, found '" +
                                           std::string{text} + "'");
}

std::string to_rfc3339(wall_time time) {
    const auto midnight = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date{midnight};
    const auto in_day = time - wall_time{midnight};
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%s.%03dZ", static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                  clock_text(std::chrono::floor<std::chrono::seconds>(in_day)).c_str(),
                  static_cast<int>(in_day.count() % ms_per_second));
    return text.data();
}

std::string to_string(const time_expression& expression) {
    if (const auto* span = std::get_if<relative_time>(&expression)) {
        return span_text(span->amount);
    }
    if (const auto* clock = std::get_if<time_of_day>(&expression)) {
        return clock_text(clock->since_midnight);
    }
    return to_rfc3339(std::get<wall_time>(expression));
}

}  // namespace guavaramp
