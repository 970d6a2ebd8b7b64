#pragma once

namespace guavaramp {

/// Combines several lambdas into one overloaded function object that serves as a visitor for `std::visit`.
template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

// Deduction guide: clang 14 does not deduce the template arguments of an aggregate without it.
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace guavaramp
