#include "target.hpp"

#include <cstdlib>
#include <iostream>

namespace guavaramp {

void require(bool held, const char* invariant) {
    if (!held) {
        std::cerr << "broken invariant: " << invariant << '\n';
        std::abort();
    }
}

std::string as_text(std::span<const std::byte> bytes) {
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace guavaramp
