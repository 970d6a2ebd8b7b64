#include "steering_speed.hpp"

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command{"guavaramp-bench: in-process measurements", ' ', GUAVARAMP_VERSION};
        std::vector<std::string> names{"steering-speed"};
        TCLAP::ValuesConstraint<std::string> allowed{names};
        TCLAP::UnlabeledValueArg<std::string> name{"name", "Measurement to run", true, "", &allowed, command};
        TCLAP::ValueArg<std::uint64_t> seed{"",       "seed", "Seed of flows and packet order", false, 1,
                                            "number", command};
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        std::cout << guavaramp::measure_steering_speed(seed.getValue()) << '\n';
        return 0;
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-bench: " << failure.error() << " " << failure.argId() << '\n';
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-bench: " << failure.what() << '\n';
        return 70;
    }
}
