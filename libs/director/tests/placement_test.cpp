#include "placement_model.hpp"

#include <cstdio>

namespace guavaramp::placement_model {
namespace {

void print(const char* name, const outcome& of) {
    std::printf("%s: p50 %.1f ms, p99 %.1f ms, refused %zu, beside room %zu, busiest/mean %.2f, answered %zu\n", name, of.quantile_ms(0.5), of.quantile_ms(0.99), of.refused, of.refused_beside_room, of.busiest_to_mean, of.times_ms.size());
}

TEST_CASE("PlacementTest.trial") {
    for (double load : {0.3, 0.6, 0.8}) {
        pattern p{.load = load};
        std::printf("load %.1f\n", load);
        print("directors", play(p, placement::directors));
        print("all-knowing", play(p, placement::all_knowing));
        p.directors = 6; p.hosts = 14; p.callers = 175;
        print("6 directors", play(p, placement::directors));
        print("all-knowing", play(p, placement::all_knowing));
    }
}

}  // namespace
}  // namespace guavaramp::placement_model
