#include "director_fixture.hpp"

#include <guavaramp/director/registration.hpp>
#include <guavaramp/director/update_relay.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace guavaramp {
namespace {

using namespace director_fixture;

/// Simulates the directors of one failure domain. The decisions are those of the product; messages arrive
/// without delay; the store's cached answers are older than its newest state.
class simulated_domain {
public:
    explicit simulated_domain(std::uint16_t count) {
        for (std::uint16_t number = 0; number < count; ++number) {
            add(number);
        }
    }

    void add(std::uint16_t number) {
        director node;
        node.self = {.peer = {.observation_address = socket_of(number, 7720),
                              .update_address = socket_of(number, 7721),
                              .admin_address = socket_of(number, 8166),
                              .failure_domain = "centro"},
                     .incarnation = 100};
        node.role = make_reader_role(node.self.peer.update_address, at_ms(now_ms_));
        node.started_ms = now_ms_;
        directors_[node.self.peer.update_address] = node;
    }

    /// Restarts all directors. The store keeps the entries that were written under leases.
    void restart_all() {
        auto before = std::move(directors_);
        directors_.clear();
        for (const auto& [address, node] : before) {
            add(static_cast<std::uint16_t>(address.address.bytes[14] << 8U | address.address.bytes[15]));
        }
    }

    void run_until(std::int64_t end_ms) {
        for (; now_ms_ < end_ms; now_ms_ += 10) {
            store_history_[now_ms_] = entries_;
            for (auto& [address, node] : directors_) {
                step(node);
            }
            max_reader_count_ = std::max(max_reader_count_, reader_count());
        }
    }

    [[nodiscard]] std::size_t reader_count() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(directors_, [](const auto& item) { return item.second.role.is_reader; }));
    }

    /// Returns the number of directors that are no readers and hear none.
    [[nodiscard]] std::size_t directors_without_updates() const {
        return static_cast<std::size_t>(std::ranges::count_if(directors_, [this](const auto& item) {
            return !item.second.role.is_reader && reliable_readers(item.second.relay, at_ms(now_ms_)).empty();
        }));
    }

    /// Returns the least number of members that the entry of a current reader names.
    [[nodiscard]] std::size_t min_members_named() const {
        std::size_t min_members = directors_.size();
        for (const auto& [address, entry] : entries_) {
            if (directors_.at(address).role.is_reader) {
                min_members = std::min(min_members, entry.members.size());
            }
        }
        return min_members;
    }

    [[nodiscard]] std::size_t writes() const { return writes_; }
    [[nodiscard]] std::size_t cached_reads() const { return cached_reads_; }
    [[nodiscard]] std::size_t max_reader_count() const { return max_reader_count_; }

private:
    static constexpr std::int64_t cached_age_ms = 500;
    static constexpr std::int64_t report_period_ms = 700;
    static constexpr std::int64_t introduction_period_ms = 10'000;

    struct director {
        domain_member self;
        reader_role role;
        update_relay relay;
        registration state;
        member_table table;
        std::vector<endpoint> entry_readers;
        bool knows_key{false};
        bool listed{false};
        bool has_introduced_itself{false};
        std::int64_t started_ms{0};
        std::int64_t next_introduction_ms{0};
        std::int64_t fleet_read_ms{0};
        std::int64_t next_report_ms{0};
    };

    static endpoint socket_of(std::uint16_t number, std::uint16_t port) {
        return {.address = from_ipv4(0x0a010000U + number), .port = port};
    }

    [[nodiscard]] static reader_report reliable_report() {
        return {.listing = {.revision = 100, .digest = 7},
                .configuration_revision = 50,
                .verified_age_ms = 0,
                .store_available_age_ms = 60'000};
    }

    [[nodiscard]] std::vector<domain_member> members_of(const director& node) const {
        return live_members(node.table, at_ms(node.state.lease != 0 ? now_ms_ : node.fleet_read_ms));
    }

    [[nodiscard]] std::vector<endpoint> others_of(const director& node) const {
        std::vector<endpoint> others;
        if (node.knows_key) {
            std::ranges::transform(members_of(node), std::back_inserter(others),
                                   [](const domain_member& member) { return member.peer.update_address; });
        }
        return others;
    }

    void step(director& node) {
        run_registration_step(node);
        if (!node.knows_key) {
            (void)update_reader_role(node.role, node.relay, node.self.peer.update_address, {},
                                     at_ms(now_ms_));
            record_reader_role(node.state, node.role.is_reader, at_ms(now_ms_));
            return;
        }
        if (now_ms_ >= node.next_introduction_ms) {
            introduce_if_due(node);
        }
        const bool was_reader = node.role.is_reader;
        (void)update_reader_role(node.role, node.relay, node.self.peer.update_address, others_of(node),
                                 at_ms(now_ms_));
        record_reader_role(node.state, node.role.is_reader, at_ms(now_ms_));
        if (node.role.is_reader && (!was_reader || now_ms_ >= node.next_report_ms)) {
            node.next_report_ms = now_ms_ + report_period_ms;
            for (const auto& other : others_of(node)) {
                report(node, other);
            }
        }
    }

    void introduce_if_due(director& node) {
        node.next_introduction_ms = now_ms_ + introduction_period_ms;
        std::vector<endpoint> receivers;
        if (!node.has_introduced_itself) {
            node.has_introduced_itself = true;
            receivers = others_of(node);
            record_membership(node.role, node.self.peer.update_address, receivers, node.listed,
                              at_ms(now_ms_));
        } else {
            receivers = reliable_readers(node.relay, at_ms(now_ms_));
            receivers.insert(receivers.end(), node.entry_readers.begin(), node.entry_readers.end());
        }
        for (const auto& receiver : receivers) {
            introduce(node, receiver);
        }
    }

    void introduce(director& node, const endpoint& receiver) {
        const auto found = directors_.find(receiver);
        if (found == directors_.end() || !found->second.knows_key) {
            return;
        }
        (void)record_introduction(found->second.table, node.self, at_ms(now_ms_));
        if (found->second.role.is_reader) {
            report(found->second, node.self.peer.update_address);
        }
    }

    void report(director& from, const endpoint& receiver) {
        const auto found = directors_.find(receiver);
        if (found == directors_.end() || !found->second.knows_key) {
            return;
        }
        auto& to = found->second;
        record_report(to.relay, from.self.peer.update_address, reliable_report(), at_ms(now_ms_));
        for (const auto& named : reliable_readers(from.relay, at_ms(now_ms_))) {
            if (named != receiver && !to.relay.readers.contains(named)) {
                to.relay.readers[named] = {.report = make_non_reader_report(), .heard_at = at_ms(now_ms_)};
                introduce(to, named);
            }
        }
    }

    void run_registration_step(director& node) {
        const auto members = members_of(node);
        const auto next = next_registration_step(node.state, digest_of(members));
        if (at_ms(now_ms_) < next.at) {
            return;
        }
        switch (next.step) {
            case registration_step::read_entries:
                return read_entries(node);
            case registration_step::start_lease:
                ++writes_;
                return record_lease_start(node.state, ++last_lease_, at_ms(now_ms_));
            case registration_step::write_entry:
                ++writes_;
                entries_[node.self.peer.update_address] = {.reader = node.self, .members = members};
                node.knows_key = true;
                return record_entry_write(node.state, digest_of(members), at_ms(now_ms_));
            case registration_step::renew_lease:
                return record_lease_renewal(node.state, at_ms(now_ms_));
        }
    }

    void read_entries(director& node) {
        ++cached_reads_;
        const auto seen = store_history_.lower_bound(now_ms_ - cached_age_ms);
        entries_read_result read;
        std::vector<reader_entry> entries;
        node.entry_readers.clear();
        node.listed = false;
        for (const auto& [address, entry] : seen->second) {
            const bool own = address == node.self.peer.update_address;
            read.has_key = true;
            read.has_own_entry = read.has_own_entry || own;
            read.other_readers += own ? 0 : 1;
            node.listed = node.listed || own;
            if (!own) {
                node.entry_readers.push_back(address);
            }
            node.listed =
                node.listed || std::ranges::any_of(entry.members, [&node](const domain_member& member) {
                    return member.peer.update_address == node.self.peer.update_address;
                });
            entries.push_back(entry);
        }
        node.knows_key = node.knows_key || read.has_key;
        (void)record_listed_members(node.table, entries, node.self.peer.update_address, node.state.lease != 0,
                                    at_ms(now_ms_));
        purge_expired_members(node.table, at_ms(now_ms_));
        node.fleet_read_ms = now_ms_;
        record_entries_read(node.state, read, claim_delay(node.self.peer.update_address), at_ms(now_ms_));
    }

    std::map<endpoint, director> directors_;
    std::map<endpoint, reader_entry> entries_;
    std::map<std::int64_t, std::map<endpoint, reader_entry>> store_history_;
    std::uint64_t last_lease_{0};
    std::size_t writes_{0};
    std::size_t cached_reads_{0};
    std::size_t max_reader_count_{0};
    std::int64_t now_ms_{0};
};

// Load pattern: the first start of a fleet; no director knows any other. Guards against calls to the store,
// above all writes, that grow with the fleet.
TEST_CASE("DomainStartTest.FewDirectorsWriteAndAllAreNamedAtTheFirstStart") {
    for (const std::uint16_t count : {2, 9, 70, 133}) {
        CAPTURE(count);
        simulated_domain domain{count};
        domain.run_until(14'000);
        CHECK(domain.reader_count() == 2);
        CHECK(domain.directors_without_updates() == 0);
        CHECK(domain.min_members_named() + 1 == count);
        CHECK(domain.writes() <= 60);
        CHECK(domain.cached_reads() <= std::size_t{8} * count);
        const auto before = domain.writes();
        domain.run_until(34'000);
        CHECK(domain.writes() <= before + 4);
    }
}

// Load pattern: all directors are killed and start again while their entries are still there. Guards against
// a new registration of each director, and against a failure domain that gets no updates.
TEST_CASE("DomainStartTest.TwoDirectorsAreReadersAndFewWriteAfterARestartOfAll") {
    simulated_domain domain{70};
    domain.run_until(14'000);
    const auto before = domain.writes();
    domain.restart_all();
    domain.run_until(16'000);
    CHECK(domain.directors_without_updates() == 0);
    domain.run_until(24'000);
    CHECK(domain.reader_count() == 2);
    CHECK(domain.writes() <= before + 10);
}

// Load pattern: a fifth of the fleet is added at once. Guards against new directors that hear no reader, and
// against all of them becoming readers because no entry names them yet.
TEST_CASE("DomainStartTest.EntriesNameAddedDirectorsWithinSecondsAndFewWrite") {
    simulated_domain domain{60};
    domain.run_until(14'000);
    const auto before = domain.writes();
    for (std::uint16_t number = 60; number < 75; ++number) {
        domain.add(number);
    }
    domain.run_until(14'500);
    CHECK(domain.directors_without_updates() == 0);
    domain.run_until(26'000);
    CHECK(domain.reader_count() == 2);
    CHECK(domain.min_members_named() + 1 == 75);
    CHECK(domain.writes() <= before + 16);
}

}  // namespace
}  // namespace guavaramp
