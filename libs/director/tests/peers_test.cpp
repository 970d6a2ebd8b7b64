#include <guavaramp/director/peers.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

std::span<const std::byte> as_bytes(const std::vector<std::uint8_t>& values) {
    return std::as_bytes(std::span{values});
}

TEST_CASE("PeersTest.NotesAreReadBackAsTheyWereWritten") {
    check_property("round trip", [](const std::vector<std::uint32_t>& values) {
        std::vector<host_note> notes;
        for (std::size_t index = 0; index < std::min(values.size(), most_notes); ++index) {
            notes.push_back({.kind = host_note_kind(values[index] % host_note_kinds),
                             .tag = steering_tag{values[index]},
                             .age_ms = values[index] / 3});
        }
        const auto read = decode_notes(as_bytes(encode_notes(notes)));
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == notes);
    });
}

TEST_CASE("PeersTest.AnyBytesAreNotesOrMalformed") {
    check_property("decoding is total", [](const std::vector<std::uint8_t>& bytes) {
        const auto read = decode_notes(as_bytes(bytes));
        RC_ASSERT((read.has_value() || read.error().kind == error_kind::malformed));
    });
}

TEST_CASE("PeersTest.ADirectorEntryIsReadBackAsItWasWritten") {
    const director_peer peer{.address = *parse_endpoint("10.1.0.10:7720"),
                             .news = *parse_endpoint("10.1.0.10:7735"),
                             .admin = *parse_endpoint("10.1.0.10:8166"),
                             .failure_domain = "centro"};
    CHECK(*decode_director_entry(encode_director_entry(peer)) == peer);
}

TEST_CASE("PeersTest.AnEntryThatIsNoDirectorsIsMalformed") {
    for (const auto* text :
         {"", "{}", R"({"address":"x","news":"1.2.3.4:6","admin":"1.2.3.4:7","failure_domain":"c"})",
          R"({"address":"1.2.3.4:5","news":"1.2.3.4:6","admin":"1.2.3.4:7"})",
          R"({"address":"1.2.3.4:5","admin":"1.2.3.4:7","failure_domain":"c"})",
          R"({"address":"1.2.3.4:5","news":"1.2.3.4:6","failure_domain":"c"})",
          R"({"address":3,"news":"1.2.3.4:6","admin":"1.2.3.4:7","failure_domain":"c"})"}) {
        CAPTURE(text);
        CHECK(decode_director_entry(text).error().kind == error_kind::malformed);
    }
}

}  // namespace
}  // namespace guavaramp
