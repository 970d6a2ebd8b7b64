#pragma once

namespace guavaramp {

/// Joins lambdas into one visitor for `std::visit`.
template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

// clang 14 does not deduce the arguments of an aggregate without this guide.
template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace guavaramp
