#include <guavaramp/record/language.hpp>

#include <property.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

const std::vector<std::string>& vocabulary() {
    static const std::vector<std::string> words{"show",
                                                "services",
                                                "service",
                                                "upstreams",
                                                "of",
                                                "entries",
                                                "changes",
                                                "since",
                                                "flows",
                                                "on",
                                                "limit",
                                                "counters",
                                                "matching",
                                                "why",
                                                "flow",
                                                "->",
                                                "to",
                                                "udp",
                                                "tcp",
                                                "broken",
                                                "last",
                                                "by",
                                                "cause",
                                                "upstream",
                                                "add",
                                                "remove",
                                                "drain",
                                                "at",
                                                "undrain",
                                                "set",
                                                "weight",
                                                "class",
                                                "urgent",
                                                "bulk",
                                                "load",
                                                "help",
                                                "address",
                                                "request",
                                                "domain",
                                                "dispatch",
                                                "dispatch/h07",
                                                "10m",
                                                "22:00",
                                                "10.9.0.1",
                                                "10.9.0.1:1",
                                                "[::1]:2",
                                                "5",
                                                "/",
                                                "x/",
                                                "{",
                                                "{}",
                                                "configuration",
                                                "hai-chau",
                                                "2026-12-04T22:00:00Z",
                                                R"({"services":[{"name":"a","address":"10.9.0.1:1"}]})",
                                                R"({"services":[1,{}]})"};
    return words;
}

std::string random_command() {
    const auto indexes =
        *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, vocabulary().size()));
    std::string text;
    for (const auto index : indexes) {
        text += (text.empty() ? "" : " ") + vocabulary()[index];
    }
    return text;
}

void check_any(const std::string& text) {
    const auto parsed = parse_statement(text);
    if (!parsed) {
        RC_ASSERT(parsed.error().position + parsed.error().length <= text.size());
        RC_ASSERT_FALSE(parsed.error().message.empty());
        return;
    }
    const auto printed = to_string(*parsed);
    const auto again = parse_statement(printed);
    RC_ASSERT(again.has_value());
    RC_ASSERT(*again == *parsed);
}

// Guards against crashes, error positions outside the text, and statements that change when they are printed.
TEST_CASE("LanguageTest.AnyTextIsParsedOrRefusedWithAPositionInside") {
    check_property("random bytes", [](const std::string& text) { check_any(text); });
    check_property("random words of the language", [] { check_any(random_command()); });
    check_property("a known command with one byte changed", [](std::size_t line, std::size_t at, char byte) {
        std::string text = grammar_lines()[line % grammar_lines().size()];
        text[at % text.size()] = byte;
        check_any(text);
    });
    check_property("completion never fails", [](const std::string& tail) {
        const auto text = random_command() + tail;
        for (const auto& word :
             complete_statement(text, {.services = {"dispatch"}, .upstreams = {"dispatch/h1"}})) {
            RC_ASSERT_FALSE(word.empty());
        }
    });
}

// Guards against a command of the grammar that the parser does not know, and against a canonical form that
// loses a part. The random tests rarely complete a long command.
TEST_CASE("LanguageTest.EveryCommandSurvivesPrinting") {
    for (const std::string text :
         {"show services",
          "show service dispatch",
          "show upstreams of dispatch",
          "show entries",
          "show changes since 10m",
          "show flows of dispatch limit 100",
          "show flows of dispatch on h07 limit 5",
          "show counters",
          "show counters matching flow",
          "why flow 10.0.0.7:4312 -> 10.9.0.1:443 tcp",
          "why flow [fd00::7]:4312 -> [fd00::1]:443 udp",
          "broken flows last 1h",
          "broken flows last 1h by cause",
          "broken flows last 1h by upstream",
          "broken flows last 1h by service",
          "add service maps address 10.9.0.3:443 udp class bulk",
          "remove service maps",
          "add upstream maps/m1 address 127.20.0.1:6080 request 127.20.0.1:8081 domain son-tra weight 7",
          "remove upstream maps/m1",
          "drain upstream maps/m1",
          "drain upstream maps/m1 at 22:00:00",
          "undrain upstream maps/m1",
          "set weight maps/m1 50",
          "set class maps urgent",
          "help"}) {
        const auto parsed = parse_statement(text);
        REQUIRE_MESSAGE(parsed.has_value(), text);
        CHECK(to_string(*parsed) == text);
    }
}

// Guards against an error that points at the wrong word or names no valid one.
TEST_CASE("LanguageTest.ErrorsNameThePositionAndTheNearestWord") {
    const auto misspelt = parse_statement("show servces");
    REQUIRE_FALSE(misspelt.has_value());
    CHECK(misspelt.error().position == 5);
    CHECK(misspelt.error().length == 7);
    CHECK(misspelt.error().message.find("did you mean 'services'?") != std::string::npos);
    const auto cut = parse_statement("drain upstream");
    REQUIRE_FALSE(cut.has_value());
    CHECK(cut.error().position == 14);
    const auto excess = parse_statement("drain upstream dispatch/h07 on 22:00");
    REQUIRE_FALSE(excess.has_value());
    CHECK(excess.error().position == 28);
    CHECK(excess.error().message.find("'at'") != std::string::npos);
    const auto weight = parse_statement("set weight dispatch/h07 0");
    REQUIRE_FALSE(weight.has_value());
    CHECK(weight.error().position == 24);
}

// Guards against a drain that happens a day early or late, or with a wrong offset from UTC.
TEST_CASE("LanguageTest.TimesResolveAgainstNow") {
    const auto now = std::get<wall_time>(*parse_time("2026-12-04T21:30:00Z"));
    const auto resolved = [&](const char* text, time_direction direction) {
        return to_rfc3339(resolve_time(*parse_time(text), now, direction));
    };
    CHECK(resolved("22:00", time_direction::future) == "2026-12-04T22:00:00.000Z");
    CHECK(resolved("21:00", time_direction::future) == "2026-12-05T21:00:00.000Z");
    CHECK(resolved("22:00", time_direction::past) == "2026-12-03T22:00:00.000Z");
    CHECK(resolved("10m", time_direction::past) == "2026-12-04T21:20:00.000Z");
    CHECK(resolved("2026-12-04T22:00:00.25+07:00", time_direction::past) == "2026-12-04T15:00:00.250Z");
    for (const char* text :
         {"", "10", "-1m", "24:00", "2026-02-30T00:00:00Z", "99999999999d", "m", "2026-12-04"}) {
        CHECK_MESSAGE(!parse_time(text).has_value(), text);
    }
}

// Guards against completion that offers words which cannot stand at the place, or hides optional ones.
TEST_CASE("LanguageTest.CompletionOffersWhatTheGrammarAllows") {
    const completion_names names{.services = {"dispatch", "records"},
                                 .upstreams = {"dispatch/h07", "records/r1"}};
    using words = std::vector<std::string>;
    CHECK(complete_statement("sh", names) == words{"show"});
    CHECK(complete_statement("show service ", names) == names.services);
    CHECK(complete_statement("drain upstream d", names) == words{"dispatch/h07"});
    CHECK(complete_statement("drain upstream dispatch/h07 ", names) == words{"at"});
    CHECK(complete_statement("show flows of dispatch ", names) == words{"limit", "on"});
    CHECK(complete_statement("show flows to ", names).empty());
}

}  // namespace
}  // namespace guavaramp
