#include <guavaramp/telemetry/counters.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace guavaramp {
namespace {

// Guards against two threads of a daemon that use separate counters for the same metric.
TEST_CASE("CounterRegistryTest.GetReturnsSameCounterWhenNameAndReasonAreEqual") {
    counter_registry registry;
    registry.get("packets_dropped_total", "Dropped packets.", "malformed").add(2);
    registry.get("packets_dropped_total", "Dropped packets.", "malformed").add(1);
    registry.get("open_flows", "Flows in the table.", "", counter_kind::gauge).set(5);
    const auto json = nlohmann::json::parse(registry.to_json());
    CHECK(json["packets_dropped_total{malformed}"] == 3);
    CHECK(json["open_flows"] == 5);
    CHECK(registry.to_prometheus().find("guavaramp_packets_dropped_total{reason=\"malformed\"} 3") !=
          std::string::npos);
}

// Guards against bucket counts that are not cumulative, as the Prometheus exposition format requires.
TEST_CASE("CounterRegistryTest.ToPrometheusCountsLatencyInEveryBucketWhoseBoundIsNotBelowIt") {
    counter_registry registry;
    auto& latencies = registry.get_latency_histogram("answer_seconds", "Answers.");
    latencies.add(std::chrono::milliseconds{10});
    latencies.add(std::chrono::milliseconds{11});
    latencies.add(std::chrono::seconds{60});
    const auto text = registry.to_prometheus();
    CHECK(text.find("guavaramp_answer_seconds_bucket{le=\"0.005\"} 0") != std::string::npos);
    CHECK(text.find("guavaramp_answer_seconds_bucket{le=\"0.01\"} 1") != std::string::npos);
    CHECK(text.find("guavaramp_answer_seconds_bucket{le=\"0.02\"} 2") != std::string::npos);
    CHECK(text.find("guavaramp_answer_seconds_bucket{le=\"10.24\"} 2") != std::string::npos);
    CHECK(text.find("guavaramp_answer_seconds_bucket{le=\"+Inf\"} 3") != std::string::npos);
    CHECK(text.find("guavaramp_answer_seconds_count 3") != std::string::npos);
    CHECK(latencies.sum_s() == doctest::Approx(60.021));
}

}  // namespace
}  // namespace guavaramp
