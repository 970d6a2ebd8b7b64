#pragma once

#include <guavaramp/record/evaluate.hpp>

#include <string>
#include <string_view>

namespace guavaramp {

/// The answer's rows as a table with aligned columns and a line of column names, or an empty text without
/// rows. Control characters of cells become '?', so that a name cannot move the terminal's cursor.
/// Thread-safe.
[[nodiscard]] std::string render_table(const query_answer& answer);

/// The command with a caret line under the position of the error, or an empty text when it has none.
/// Thread-safe.
[[nodiscard]] std::string render_position(const query_answer& answer, std::string_view command);

}  // namespace guavaramp
