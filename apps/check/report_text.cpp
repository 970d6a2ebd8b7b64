#include "report_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace guavaramp {
namespace {

using nlohmann::ordered_json;
using platform_adapter::bounded_list;
using platform_adapter::check_finding;
using platform_adapter::check_report;
using platform_adapter::configuration_difference;
using platform_adapter::ignored_field;
using platform_adapter::to_string;

std::string line_of(const check_finding& item) {
    return fmt::format("{} {}: found {}, expected {}\n", to_string(item.kind), item.path, item.found,
                       item.expected);
}

std::string line_of(const ignored_field& item) {
    return fmt::format("ignored {} (entries: {}): guavaramp-director does not use it\n", item.path,
                       item.count);
}

std::string line_of(const configuration_difference& item) {
    auto line = fmt::format("{} {}", to_string(item.kind), item.entry);
    if (!item.field.empty()) {
        line += " " + item.field;
    }
    switch (item.kind) {
        case platform_adapter::difference_kind::added:
            return line + ": " + item.later + "\n";
        case platform_adapter::difference_kind::removed:
            return line + ": " + item.earlier + "\n";
        case platform_adapter::difference_kind::changed:
            break;
    }
    return line + ": " + item.earlier + " -> " + item.later + "\n";
}

/// Returns the lines of a list, and a line with the number of those that were not kept.
template <typename T>
std::string lines_of(const bounded_list<T>& list, const char* name) {
    std::string lines;
    for (const auto& item : list.kept) {
        lines += line_of(item);
    }
    if (list.total > list.kept.size()) {
        lines += fmt::format("{} more {} are not shown\n", list.total - list.kept.size(), name);
    }
    return lines;
}

ordered_json to_json(const check_finding& item) {
    return {{"kind", to_string(item.kind)},
            {"path", item.path},
            {"found", item.found},
            {"expected", item.expected}};
}

ordered_json to_json(const ignored_field& item) { return {{"path", item.path}, {"count", item.count}}; }

ordered_json to_json(const configuration_difference& item) {
    return {{"kind", to_string(item.kind)},
            {"entry", item.entry},
            {"field", item.field},
            {"earlier", item.earlier},
            {"later", item.later}};
}

template <typename T>
ordered_json to_json(const bounded_list<T>& list) {
    auto items = ordered_json::array();
    for (const auto& item : list.kept) {
        items.push_back(to_json(item));
    }
    return items;
}

}  // namespace

std::string to_text(const check_report& report, std::size_t unreadable_hosts) {
    auto text = lines_of(report.findings, "findings") + lines_of(report.ignored, "ignored fields") +
                lines_of(report.differences, "differences");
    if (unreadable_hosts > 0) {
        text +=
            fmt::format("{} entries of the listing are unreadable and count as no hosts\n", unreadable_hosts);
    }
    return text + fmt::format("findings: {}\n", report.findings.total);
}

std::string to_json_text(const check_report& report, std::size_t unreadable_hosts) {
    const ordered_json object{
        {"findings", to_json(report.findings)},       {"findings_total", report.findings.total},
        {"ignored", to_json(report.ignored)},         {"ignored_total", report.ignored.total},
        {"differences", to_json(report.differences)}, {"differences_total", report.differences.total},
        {"unreadable_hosts", unreadable_hosts}};
    return object.dump() + "\n";
}

}  // namespace guavaramp
