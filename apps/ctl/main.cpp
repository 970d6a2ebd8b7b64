#include "session.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace guavaramp {
namespace {

/// The entry VMs of the environment variable, separated by commas or spaces.
std::vector<std::string> entries_from_environment() {
    const char* value = std::getenv("GUAVARAMP_ENTRY");  // NOLINT(concurrency-mt-unsafe)
    std::string text = value == nullptr ? "" : value;
    std::replace(text.begin(), text.end(), ',', ' ');
    std::istringstream words{text};
    std::vector<std::string> entries;
    for (std::string word; words >> word;) {
        entries.push_back(word);
    }
    return entries;
}

/// The first line of a file.
result<std::string> read_key(const std::string& path) {
    std::ifstream file{path};
    std::string line;
    if (!file || !std::getline(file, line)) {
        return fail(error_kind::not_found, path + ": the key file cannot be read");
    }
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
        line.pop_back();
    }
    return line;
}

int run(ctl_options options, const std::string& key_file, const std::vector<std::string>& words) {
    if (!key_file.empty()) {
        auto key = read_key(key_file);
        if (!key) {
            std::cerr << "guavaramp-ctl: " << key.error().message << '\n';
            return representation_of(key.error().kind).exit_status;
        }
        options.key = *std::move(key);
    }
    if (options.entries.empty()) {
        options.entries = entries_from_environment();
    }
    std::string command;
    for (const auto& word : words) {
        command += (command.empty() ? "" : " ") + word;
    }
    ctl_session session{std::move(options)};
    return command.empty() ? session.run_interactive() : session.run(command);
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line{"guavaramp-ctl: asks entry VMs and changes the configuration", ' ',
                            GUAVARAMP_VERSION};
        TCLAP::MultiArg<std::string> entries{
            "e",
            "entry",
            "Entry VM as IP:PORT or URL; several are tried in order (environment: "
            "GUAVARAMP_ENTRY)",
            false,
            "address",
            line};
        TCLAP::ValueArg<std::string> key_file{
            "k", "key-file", "File whose first line is the operator key", false, "", "file", line};
        TCLAP::ValueArg<std::string> ca_file{
            "", "ca-file", "PEM trust anchor; entry VMs are then called over https", false, "", "file", line};
        TCLAP::SwitchArg json{"j", "json", "Print the answer as one JSON object", line};
        TCLAP::SwitchArg wait{"w", "wait", "Wait until a change is in force", line};
        TCLAP::SwitchArg dry_run{"n", "dry-run", "Show what a change would do, and do nothing", line};
        TCLAP::ValueArg<std::uint64_t> if_revision{
            "",
            "if-revision",
            "Refuse a change of a service that changed after this revision",
            false,
            0,
            "number",
            line};
        TCLAP::UnlabeledMultiArg<std::string> words{"command", "Command; none starts a session", false,
                                                    "words", line};
        line.setExceptionHandling(false);
        line.parse(argc, argv);
        return guavaramp::run(
            {.entries = entries.getValue(),
             .ca_file = ca_file.getValue(),
             .json = json.getValue(),
             .wait = wait.getValue(),
             .dry_run = dry_run.getValue(),
             .if_revision = if_revision.isSet() ? std::optional{if_revision.getValue()} : std::nullopt},
            key_file.getValue(), words.getValue());
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-ctl: " << failure.error() << " " << failure.argId() << '\n';
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-ctl: " << failure.what() << '\n';
        return 70;
    }
}
