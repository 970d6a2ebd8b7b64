#pragma once

namespace guavaramp {

/// Combines functions into one overloaded function, for `std::visit`.
template <typename... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}  // namespace guavaramp
