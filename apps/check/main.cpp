#include "check_run.hpp"

#include <guavaramp/telemetry/log.hpp>

#include <tclap/CmdLine.h>

#include <iostream>

namespace guavaramp {
namespace {

constexpr int status_findings = 1;
constexpr int status_unusable = 2;
constexpr int status_internal = 70;

int run(const check_arguments& arguments) {
    // The settings reader logs warnings to standard output, where the report goes.
    start_log("guavaramp-check", log_level::error);
    const auto has_findings = run_check(arguments, std::cout);
    stop_log();
    if (!has_findings) {
        std::cerr << "guavaramp-check: " << has_findings.error().message << '\n';
        return status_unusable;
    }
    if (!std::cout.flush()) {
        std::cerr << "guavaramp-check: the report cannot be written\n";
        return status_internal;
    }
    return *has_findings ? status_findings : 0;
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line{"guavaramp-check: checks a configuration before it is sent", ' ',
                            GUAVARAMP_VERSION};
        TCLAP::UnlabeledValueArg<std::string> file{"file", "Configuration to check (JSON)", true, "", "file",
                                                   line};
        TCLAP::ValueArg<std::string> in_force{
            "", "in-force", "Configuration in force, to compare with", false, "", "file", line};
        TCLAP::ValueArg<std::string> listing{
            "", "listing", "Host entries of the store, as a JSON array", false, "", "file", line};
        TCLAP::ValueArg<std::string> settings{
            "", "settings", "Settings file of guavaramp-director", false, "", "file", line};
        TCLAP::ValueArg<double> hedge_limit{"",
                                            "hedge-limit",
                                            "Share of extra opening packets; goes before the settings file's",
                                            false,
                                            0,
                                            "share",
                                            line};
        TCLAP::SwitchArg json{"", "json", "Print the report as one JSON object", line};
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return guavaramp::run(
            {.file = file.getValue(),
             .in_force = in_force.getValue(),
             .listing = listing.getValue(),
             .settings = settings.getValue(),
             .hedge_limit = hedge_limit.isSet() ? std::optional{hedge_limit.getValue()} : std::nullopt,
             .json = json.getValue()});
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-check: " << failure.error() << " " << failure.argId() << '\n';
        return guavaramp::status_unusable;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-check: " << failure.what() << '\n';
        return guavaramp::status_internal;
    }
}
