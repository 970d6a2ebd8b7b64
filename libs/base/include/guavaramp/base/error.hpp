#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace guavaramp {

/// The kinds of errors. The list is closed: every failure that a library returns has one of these kinds.
enum class error_kind {
    invalid_argument,   ///< a value is outside its allowed range
    malformed,          ///< bytes or text do not follow the expected format
    not_found,          ///< the named object does not exist
    conflict,           ///< a concurrent change was accepted first
    refused,            ///< a check rejected the change
    unauthenticated,    ///< a key or an authentication tag is missing or wrong
    replayed,           ///< an authenticated message was received before or is too old
    overloaded,         ///< a limit is reached or a queue is full
    deadline_exceeded,  ///< the deadline passed before an answer arrived
    cancelled,          ///< the caller cancelled the request
    unavailable,        ///< the peer or service cannot be reached
    outcome_unknown,    ///< it is unknown whether the operation took effect
    internal            ///< a bug in this program
};

/// An error: its kind and a message for operators.
struct error {
    error_kind kind{error_kind::internal};
    std::string message;

    friend bool operator==(const error&, const error&) = default;
};

/// Either a value of type `T` or an `error`.
template <typename T>
using result = tl::expected<T, error>;

/// How an error kind is reported at each interface: its name in texts, the HTTP status of an answer and the
/// exit status of a program.
struct error_representation {
    error_kind kind;
    std::string_view name;
    int http_status;
    int exit_status;
};

/// Returns the name, HTTP status and exit status for `kind`. Thread-safe; never fails.
[[nodiscard]] const error_representation& representation_of(error_kind kind) noexcept;

/// Returns the error kind that is called `name`, or `error_kind::internal` if no kind has this name.
/// Thread-safe.
[[nodiscard]] error_kind error_kind_from_name(std::string_view name) noexcept;

/// Returns an error that converts to a failed `result` of any type. Thread-safe.
[[nodiscard]] inline tl::unexpected<error> fail(error_kind kind, std::string message) {
    return tl::make_unexpected(error{.kind = kind, .message = std::move(message)});
}

}  // namespace guavaramp
