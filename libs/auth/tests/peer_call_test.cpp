#include <guavaramp/auth/peer_call.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

const fleet_keys keys{.keys = {"fleet"}};
const ip_address sender = from_ipv4(0x7f0a0101);

// Guards against an entry VM that runs a recorded request a second time.
TEST_CASE("PeerCallTest.SignedCallIsAcceptedOnce") {
    replay_guard guard;
    const auto header = sign_peer_call(keys, sender, 5, 1, "/peer/requests", "body");
    CHECK(verify_peer_call(keys, guard, header, "/peer/requests", "body").has_value());
    const auto repeated = verify_peer_call(keys, guard, header, "/peer/requests", "body");
    REQUIRE_FALSE(repeated.has_value());
    CHECK(repeated.error().kind == error_kind::replayed);
}

// Guards against a call whose path, body, sender or tag was changed on the way, or that lacks the header.
TEST_CASE("PeerCallTest.ChangedCallIsRefused") {
    const auto header = sign_peer_call(keys, sender, 5, 1, "/peer/requests", "body");
    const auto is_refused = [](const std::string& text, const std::string& path, const std::string& body) {
        replay_guard guard;
        const auto checked = verify_peer_call(keys, guard, text, path, body);
        return !checked && checked.error().kind == error_kind::unauthenticated;
    };
    CHECK(is_refused(header, "/peer/other", "body"));
    CHECK(is_refused(header, "/peer/requests", "bodY"));
    CHECK(is_refused("", "/peer/requests", "body"));
    CHECK(is_refused(header.substr(0, header.size() - 1), "/peer/requests", "body"));
    CHECK(is_refused("127.10.1.2" + header.substr(header.find(' ')), "/peer/requests", "body"));
    const auto other_key = sign_peer_call({.keys = {"other"}}, sender, 5, 1, "/peer/requests", "body");
    CHECK(is_refused(other_key, "/peer/requests", "body"));
}

}  // namespace
}  // namespace guavaramp
