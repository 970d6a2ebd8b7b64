#include "director_settings.hpp"

#include <guavaramp/settings/settings_reader.hpp>

namespace guavaramp {
namespace {

constexpr std::int64_t most_memory_mb = 1 << 20;

}  // namespace

result<director_settings> load_director_settings(const std::string& path) {
    auto reader = settings_reader::open(path);
    if (!reader) {
        return tl::make_unexpected(reader.error());
    }
    director_settings settings;
    settings.vm = reader->text("vm");
    settings.failure_domain = reader->text("failure_domain");
    settings.packets = reader->socket_address("packets");
    settings.status = reader->socket_address("status");
    settings.metrics = reader->socket_address("metrics");
    settings.peers = reader->socket_address("peers");
    settings.news = reader->socket_address("news");
    settings.store = reader->socket_address("store");
    settings.most_memory_mb = reader->integer("memory_mb", 1, most_memory_mb);
    settings.log_level = reader->choice("log_level", {"info", "warning", "error"}, "info");
    if (auto finished = reader->finish(); !finished) {
        return tl::make_unexpected(finished.error());
    }
    if (!is_ipv4(settings.packets.address)) {
        return fail(error_kind::invalid_argument,
                    path + ": packets: found an IPv6 address, allowed an IPv4 address and port");
    }
    return settings;
}

}  // namespace guavaramp
