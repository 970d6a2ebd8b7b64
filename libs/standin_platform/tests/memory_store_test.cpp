#include <guavaramp/standin_platform/memory_store.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

const mono_time start{std::chrono::hours{1}};

// Guards against two writers that both believe their compare-and-swap succeeded.
TEST_CASE("MemoryStoreTest.OnlyTheWriterWithTheCurrentRevisionSucceeds") {
    memory_store store;
    const auto first = store.put("a", "1", 0, 0, start);
    REQUIRE(first.has_value());
    CHECK(store.put("a", "2", 0, 0, start).error().kind == error_kind::conflict);
    const auto second = store.put("a", "3", *first, 0, start);
    REQUIRE(second.has_value());
    CHECK(store.put("a", "4", *first, 0, start).error().kind == error_kind::conflict);
    CHECK(store.get("a", start)->value == "3");
}

// Guards against a key that repeats a revision after deletion: a late compare-and-swap would then succeed.
TEST_CASE("MemoryStoreTest.RecreatedKeyGetsAHigherRevision") {
    memory_store store;
    const auto first = store.put("a", "1", 0, 0, start);
    REQUIRE(store.remove("a", *first, 0, start).has_value());
    CHECK_FALSE(store.get("a", start).has_value());
    CHECK(*store.put("a", "1", 0, 0, start) > *first);
}

// Guards against writes of a holder whose lease has lapsed, and against keys that outlive their lease.
TEST_CASE("MemoryStoreTest.LapsedLeaseWritesNothingAndItsKeysAreDeleted") {
    memory_store store;
    const auto lease = store.grant_lease(milliseconds{100}, start);
    REQUIRE(store.put("leader", "me", 0, lease, start).has_value());
    REQUIRE(store.renew_lease(lease, start + milliseconds{90}).has_value());
    CHECK(store.get("leader", start + milliseconds{189}).has_value());
    CHECK_FALSE(store.get("leader", start + milliseconds{190}).has_value());
    CHECK(store.put("b", "1", 0, lease, start + milliseconds{190}).error().kind == error_kind::refused);
    CHECK(store.renew_lease(lease, start + milliseconds{190}).error().kind == error_kind::refused);
}

// Guards against values above the platform's limit that a real platform would refuse.
TEST_CASE("MemoryStoreTest.ValueAboveOneMegabyteIsRefused") {
    memory_store store;
    CHECK(store.put("a", std::string(max_value_bytes, 'x'), 0, 0, start).has_value());
    CHECK(store.put("b", std::string(max_value_bytes + 1, 'x'), 0, 0, start).error().kind ==
          error_kind::invalid_argument);
}

// Guards against a VM list that does not lag: daemons must be tested with VMs that the list still shows.
TEST_CASE("MemoryStoreTest.VmListShowsThePast") {
    memory_store store;
    store.set_vm("127.10.1.1", listed_vm{.address = "127.10.1.1"}, start);
    store.set_vm("127.10.1.1", std::nullopt, start + milliseconds{500});
    CHECK(store.vms(milliseconds{1000}, start + milliseconds{999}).empty());
    CHECK(store.vms(milliseconds{1000}, start + milliseconds{1000}).size() == 1);
    CHECK(store.vms(milliseconds{0}, start + milliseconds{500}).empty());
}

}  // namespace
}  // namespace guavaramp
