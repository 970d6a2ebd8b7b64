#include "entry_settings.hpp"

#include <guavaramp/requests/hedged_request.hpp>
#include <guavaramp/settings/settings_reader.hpp>

namespace guavaramp {
namespace {

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t least_flows = 1024;
constexpr std::int64_t most_flows = 1LL << 24;

std::uint16_t read_port(settings_reader& reader, const char* key, std::uint16_t fallback) {
    return static_cast<std::uint16_t>(reader.integer(key, 1, max_port, fallback));
}

}  // namespace

result<entry_settings> load_entry_settings(const std::string& path) {
    auto reader = settings_reader::open(path);
    if (!reader) {
        return tl::make_unexpected(reader.error());
    }
    const fleet_ports defaults;
    entry_settings settings;
    settings.address = reader->address("address");
    settings.failure_domain = reader->text("failure_domain");
    settings.region = reader->text("region", "default");
    settings.ports = {.packet = read_port(*reader, "ports.packet", defaults.packet),
                      .relay = read_port(*reader, "ports.relay", defaults.relay),
                      .control = read_port(*reader, "ports.control", defaults.control),
                      .http = read_port(*reader, "ports.http", defaults.http)};
    settings.egress = reader->socket_address("egress");
    settings.platform_url = reader->text("platform");
    settings.seeds = reader->text_list("seeds", std::vector<std::string>{});
    settings.keys.keys = reader->text_list("fleet_keys");
    settings.operator_key = reader->text("operator_key");
    settings.open_questions = reader->boolean("open_questions", true);
    settings.max_flows =
        static_cast<std::size_t>(reader->integer("max_flows", least_flows, most_flows, 1LL << 20));
    settings.log_level = reader->choice("log_level", {"info", "warning", "error"}, "info");
    settings.admission = reader->boolean("admission", true);
    settings.hedge_limit = reader->number("hedge_limit", 0, max_request_hedge_limit, 0);
    settings.certificate_file = reader->text("tls.certificate_file", "");
    settings.private_key_file = reader->text("tls.private_key_file", "");
    if (auto finished = reader->finish(); !finished) {
        return tl::make_unexpected(finished.error());
    }
    if (settings.keys.keys.empty()) {
        return fail(error_kind::invalid_argument,
                    path + ": fleet_keys: found [], allowed a list of at least one key");
    }
    return settings;
}

}  // namespace guavaramp
