#include "packet_counters.hpp"

namespace guavaramp {
namespace {

constexpr std::array<const char*, 7> relay_names{"",      "ask_owner", "answer",   "ask_peer",
                                                 "known", "not_known", "hand_over"};
constexpr std::array<const char*, 9> end_names{"open",
                                               "closed",
                                               "reset_by_caller",
                                               "reset_by_upstream",
                                               "lost_at_upstream",
                                               "host_unreachable",
                                               "not_found",
                                               "upstream_removed",
                                               "expired"};

}  // namespace

packet_counters::packet_counters(counter_registry& registry)
    : from_fabric(registry.get("packets_received_total", "Packets received", "fabric")),
      from_upstreams(registry.get("packets_received_total", "Packets received", "upstream")),
      from_peers(registry.get("packets_received_total", "Packets received", "relay")),
      to_upstreams(registry.get("packets_forwarded_total", "Packets forwarded", "upstream")),
      to_callers(registry.get("packets_forwarded_total", "Packets forwarded", "caller")),
      relay_header_bytes(
          registry.get("relay_header_bytes_total", "Bytes that relaying adds to callers' packets")),
      hand_over_bytes(registry.get("control_bytes_total", "Control bytes sent", "hand_over")),
      probes(registry.get("probes_total", "Keep-alive probes sent")),
      probe_bytes(registry.get("probe_bytes_total", "Bytes of keep-alive probes")),
      resets_to_callers(registry.get("resets_total", "RST segments sent", "caller")),
      resets_to_upstreams(registry.get("resets_total", "RST segments sent", "upstream")),
      send_failures(registry.get("packet_send_failures_total", "Datagrams that the kernel refused")),
      flows_open(registry.get("flows_open", "Flows in the table", "", counter_kind::gauge)),
      flows_placed(registry.get("flows_placed_total", "New flows given an upstream here")),
      flows_refused(registry.get("flow_table_refused_total", "Flows that found no room in the table")),
      flows_evicted(registry.get("flow_table_evicted_total", "Cached flows replaced for room")),
      flows_resolving(
          registry.get("flows_resolving", "Unknown flows being resolved", "", counter_kind::gauge)),
      resolutions(registry.get("flow_resolutions_total", "Unknown flows resolved by asking or probing")),
      owner_bypasses(registry.get("owner_bypasses_total", "Times an unresponsive owner was passed over")),
      flows_suspected(registry.get("flows_suspected_total", "Flows suspected of silence")) {
    for (std::size_t index = 0; index < drops.size(); ++index) {
        drops[index] = &registry.get("packet_drops_total", "Packets dropped by reason",
                                     to_string(static_cast<drop_reason>(index)));
    }
    for (std::size_t index = 1; index < relays.size(); ++index) {
        relays[index] = &registry.get("relays_total", "Packets sent to other entry VMs", relay_names[index]);
    }
    for (std::size_t index = 1; index < ended.size(); ++index) {
        ended[index] = &registry.get("flows_ended_total", "Flows that ended, by cause", end_names[index]);
    }
}

}  // namespace guavaramp
