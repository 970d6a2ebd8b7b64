#include "render.hpp"

#include <algorithm>

namespace guavaramp {
namespace {

constexpr std::size_t column_gap = 2;

std::string printable(std::string_view text) {
    std::string out{text};
    std::replace_if(
        out.begin(), out.end(),
        [](char letter) {
            const auto value = static_cast<unsigned char>(letter);
            return value < 0x20 || value == 0x7f;
        },
        '?');
    return out;
}

/// Number of characters of a UTF-8 text.
std::size_t width_of(const std::string& text) {
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char letter) {
        return (static_cast<unsigned char>(letter) & 0xc0U) != 0x80U;
    }));
}

std::string render_row(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        const std::string cell = printable(cells[column]);
        line += cell;
        if (column + 1 < cells.size()) {
            line.append(widths[column] - width_of(cell) + column_gap, ' ');
        }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + "\n";
}

}  // namespace

std::string render_table(const query_answer& answer) {
    if (answer.rows.empty()) {
        return "";
    }
    std::vector<std::size_t> widths;
    const auto widen = [&widths](const std::vector<std::string>& cells) {
        widths.resize(std::max(widths.size(), cells.size()), 0);
        for (std::size_t column = 0; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], width_of(printable(cells[column])));
        }
    };
    widen(answer.columns);
    std::for_each(answer.rows.begin(), answer.rows.end(), widen);
    std::string text = render_row(answer.columns, widths);
    for (const auto& row : answer.rows) {
        text += render_row(row, widths);
    }
    return text;
}

std::string render_position(const query_answer& answer, std::string_view command) {
    if (!answer.position || *answer.position > command.size()) {
        return "";
    }
    const std::string before = printable(command.substr(0, *answer.position));
    const std::size_t marks = std::max<std::size_t>(1, answer.length);
    return "  " + printable(command) + "\n  " + std::string(width_of(before), ' ') + std::string(marks, '^') +
           "\n";
}

}  // namespace guavaramp
