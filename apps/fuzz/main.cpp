#include "target.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace guavaramp {
namespace {

constexpr std::size_t max_input_size = 4096;
constexpr int max_mutations = 6;

using input = std::vector<std::byte>;
using generator = std::mt19937_64;

std::size_t pick(generator& random, std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
}

void insert_random_bytes(input& bytes, generator& random) {
    const auto position = static_cast<std::ptrdiff_t>(pick(random, bytes.size() + 1));
    const std::size_t count = 1 + pick(random, 16);
    bytes.insert(bytes.begin() + position, count, static_cast<std::byte>(pick(random, 256)));
}

void repeat_part(input& bytes, generator& random) {
    const std::size_t first = pick(random, bytes.size());
    const std::size_t count = 1 + pick(random, bytes.size() - first);
    const input part(bytes.begin() + static_cast<std::ptrdiff_t>(first),
                     bytes.begin() + static_cast<std::ptrdiff_t>(first + count));
    bytes.insert(bytes.begin() + static_cast<std::ptrdiff_t>(first), part.begin(), part.end());
}

void mutate_once(input& bytes, generator& random) {
    if (bytes.empty()) {
        insert_random_bytes(bytes, random);
        return;
    }
    switch (pick(random, 5)) {
        case 0:
            bytes[pick(random, bytes.size())] ^= static_cast<std::byte>(1U << pick(random, 8));
            break;
        case 1:
            bytes[pick(random, bytes.size())] = static_cast<std::byte>(pick(random, 256));
            break;
        case 2:
            bytes.resize(pick(random, bytes.size() + 1));
            break;
        case 3:
            insert_random_bytes(bytes, random);
            break;
        default:
            repeat_part(bytes, random);
            break;
    }
}

input make_input(const fuzz_target& target, generator& random) {
    const auto& seed = target.seeds[pick(random, target.seeds.size())];
    const auto bytes = std::as_bytes(std::span{seed});
    input mutated(bytes.begin(), bytes.end());
    const std::size_t mutations = 1 + pick(random, max_mutations);
    for (std::size_t count = 0; count < mutations; ++count) {
        mutate_once(mutated, random);
    }
    mutated.resize(std::min(mutated.size(), max_input_size));
    // Exact capacity lets the address sanitizer see the first byte read past the end.
    mutated.shrink_to_fit();
    return mutated;
}

void run_target(const fuzz_target& target, std::uint64_t seed, std::uint64_t runs) {
    generator random{seed};
    for (const auto& valid : target.seeds) {
        target.run(std::as_bytes(std::span{valid}));
    }
    for (std::uint64_t run = 0; run < runs; ++run) {
        target.run(make_input(target, random));
    }
    std::cout << target.name << ": " << runs << " inputs, seed " << seed << '\n';
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command{"guavaramp-fuzz: feeds mutated inputs to every decoder", ' ',
                               GUAVARAMP_VERSION};
        TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Random seed", false, 1, "number", command};
        TCLAP::ValueArg<std::uint64_t> runs{"",       "runs", "Inputs for each target", false, 100000,
                                            "number", command};
        TCLAP::ValueArg<std::string> name{"", "target", "Only this target", false, "", "name", command};
        command.parse(argc, argv);
        bool found = false;
        for (const auto& target : guavaramp::all_fuzz_targets()) {
            if (name.getValue().empty() || name.getValue() == target.name) {
                guavaramp::run_target(target, seed.getValue(), runs.getValue());
                found = true;
            }
        }
        return found ? 0 : 2;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-fuzz: " << failure.what() << '\n';
        return 70;
    }
}
