#include <guavaramp/traffic/host_connections.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

const endpoint service = *parse_endpoint("10.9.0.1:443");
const endpoint caller = *parse_endpoint("10.64.0.1:4000");
const endpoint entry = *parse_endpoint("127.10.1.1:6080");
constexpr mono_time start{};

host_connections make_host(double work_ms = 0.0) {
    return host_connections{{.name = "h07", .services = {service}, .speed = 2.0, .work_ms = work_ms}};
}

ip_packet segment(std::uint8_t flags, std::uint32_t sequence, std::string_view payload = {}) {
    return {.source = caller,
            .destination = service,
            .tcp_flags = flags,
            .sequence = sequence,
            .payload = std::as_bytes(std::span{payload})};
}

std::vector<host_answer> open_connection(host_connections& host) {
    return host.receive(entry, segment(tcp_flag::syn, 99), start);
}

// Guards against answers that miss a part of the payload, name no host or go to another entry VM.
TEST_CASE("HostConnectionsTest.DataIsEchoedWholeWithTheNameToTheOuterSource") {
    auto host = make_host();
    REQUIRE(open_connection(host).size() == 1);
    const auto answers = host.receive(entry, segment(tcp_flag::ack, 100, "marshal"), start);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].payload == "h07|marshal");
    CHECK(answers[0].outer_destination == entry);
    CHECK(answers[0].header.acknowledgment == 107);
}

// Guards against a retransmission that runs twice or is answered with other sequence numbers.
TEST_CASE("HostConnectionsTest.RetransmittedDataGetsTheSameAnswerAndRunsOnce") {
    auto host = make_host();
    static_cast<void>(open_connection(host));
    const auto first = host.receive(entry, segment(tcp_flag::ack, 100, "abc"), start);
    const auto again = host.receive(entry, segment(tcp_flag::ack, 100, "abc"), start);
    REQUIRE(again.size() == 1);
    CHECK(again[0].payload == first[0].payload);
    CHECK(again[0].header.sequence == first[0].header.sequence);
    CHECK(host.counters().data_packets == 1);
}

// Guards against a host that claims a connection it does not have, which would misdirect a probed flow.
TEST_CASE("HostConnectionsTest.ProbeIsAcknowledgedWhenKnownAndResetWhenUnknown") {
    auto host = make_host();
    const auto unknown = host.receive(entry, segment(tcp_flag::ack, 99), start);
    REQUIRE(unknown.size() == 1);
    CHECK((unknown[0].header.tcp_flags & tcp_flag::rst) != 0);
    static_cast<void>(open_connection(host));
    const auto known = host.receive(entry, segment(tcp_flag::ack, 99), start);
    REQUIRE(known.size() == 1);
    CHECK(known[0].header.tcp_flags == tcp_flag::ack);
    CHECK(known[0].header.acknowledgment == 100);
}

// Guards against counting a misdelivered packet as served.
TEST_CASE("HostConnectionsTest.PacketForAnotherServiceIsCountedAndDropped") {
    auto host = make_host();
    auto packet = segment(tcp_flag::syn, 1);
    packet.destination.port = 444;
    CHECK(host.receive(entry, packet, start).empty());
    CHECK(host.counters().misdelivered == 1);
}

// Guards against a silent connection that still answers.
TEST_CASE("HostConnectionsTest.ForgottenConnectionAnswersNothing") {
    auto host = make_host();
    static_cast<void>(open_connection(host));
    CHECK(host.forget(5).size() == 1);
    CHECK(host.receive(entry, segment(tcp_flag::ack, 100, "x"), start).empty());
    CHECK(host.receive(entry, segment(tcp_flag::ack, 99), start).empty());
    CHECK(host.counters().connections == 0);
}

// Guards against counting work of the grace period as work on a draining host, and against missing later
// work.
TEST_CASE("HostConnectionsTest.OnlyConnectionsAfterTheGracePeriodCountAsLate") {
    auto host = make_host();
    host.mark_drain(start);
    auto packet = segment(tcp_flag::syn, 1);
    static_cast<void>(host.receive(entry, packet, start + std::chrono::seconds{3}));
    CHECK(host.counters().accepted_after_drain == 0);
    packet.source.port = 4001;
    static_cast<void>(host.receive(entry, packet, start + std::chrono::milliseconds{3001}));
    CHECK(host.counters().accepted_after_drain == 1);
}

// Guards against work that overlaps beyond the slots or ignores the host's speed.
TEST_CASE("HostConnectionsTest.WorkOccupiesSlotsForWorkOverSpeed") {
    auto host = make_host(20.0);
    static_cast<void>(open_connection(host));
    std::vector<mono_time> due;
    for (std::uint32_t index = 0; index < 3; ++index) {
        const auto answers = host.receive(entry, segment(tcp_flag::ack, 100 + index, "x"), start);
        REQUIRE(answers.size() == 1);
        due.push_back(answers[0].due);
    }
    CHECK(due[0] == start + std::chrono::milliseconds{10});
    CHECK(due[1] == start + std::chrono::milliseconds{10});
    CHECK(due[2] == start + std::chrono::milliseconds{20});
    CHECK(host.counters().busy_us == 30000);
}

}  // namespace
}  // namespace guavaramp
