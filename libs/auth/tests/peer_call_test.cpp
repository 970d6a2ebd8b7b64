#include <guavaramp/auth/peer_call.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

const fleet_keys keys{.keys = {"fleet"}};
const ip_address sender = from_ipv4(0x7f0a0101);

// Guards against an entry VM that executes a request a second time because its call was recorded and
// replayed.
TEST_CASE("PeerCallTest.AcceptsSignedCallOnlyOnce") {
    replay_guard guard;
    const auto header = sign_peer_call(keys, sender, 5, 1, "/peer/requests", "body");
    CHECK(verify_peer_call(keys, guard, header, "/peer/requests", "body").has_value());
    const auto repeated = verify_peer_call(keys, guard, header, "/peer/requests", "body");
    REQUIRE_FALSE(repeated.has_value());
    CHECK(repeated.error().kind == error_kind::replayed);
}

// Guards against accepting a call whose path, body, sender or authentication tag was changed on the way, that
// lacks the header, or that was signed with another key.
TEST_CASE("PeerCallTest.RejectsCallWhenAnyPartIsChanged") {
    const auto header = sign_peer_call(keys, sender, 5, 1, "/peer/requests", "body");
    const auto is_rejected = [](const std::string& text, const std::string& path, const std::string& body) {
        replay_guard guard;
        const auto verified = verify_peer_call(keys, guard, text, path, body);
        return !verified && verified.error().kind == error_kind::unauthenticated;
    };
    CHECK(is_rejected(header, "/peer/other", "body"));
    CHECK(is_rejected(header, "/peer/requests", "bodY"));
    CHECK(is_rejected("", "/peer/requests", "body"));
    CHECK(is_rejected(header.substr(0, header.size() - 1), "/peer/requests", "body"));
    CHECK(is_rejected("127.10.1.2" + header.substr(header.find(' ')), "/peer/requests", "body"));
    const auto other_key = sign_peer_call({.keys = {"other"}}, sender, 5, 1, "/peer/requests", "body");
    CHECK(is_rejected(other_key, "/peer/requests", "body"));
}

}  // namespace
}  // namespace guavaramp
