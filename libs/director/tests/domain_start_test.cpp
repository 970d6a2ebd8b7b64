#include "director_fixture.hpp"

#include <guavaramp/director/news_relay.hpp>
#include <guavaramp/director/registration.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace guavaramp {
namespace {

using namespace director_fixture;

/// The directors of one failure domain with the pure decisions of the product, messages that arrive at once,
/// and a store whose cached answers are older than it is.
class failure_domain {
public:
    explicit failure_domain(std::uint16_t count) {
        for (std::uint16_t number = 0; number < count; ++number) {
            add(number);
        }
    }

    void add(std::uint16_t number) {
        director one;
        one.self = {.peer = {.address = socket_of(number, 7720),
                             .news = socket_of(number, 7721),
                             .admin = socket_of(number, 8166),
                             .failure_domain = "centro"},
                    .incarnation = 100};
        one.role = make_role(one.self.peer.news, at_ms(now_ms_));
        one.started_ms = now_ms_;
        directors_[one.self.peer.news] = one;
    }

    /// All processes end and start again; the store keeps what was written under leases.
    void restart_all() {
        auto before = std::move(directors_);
        directors_.clear();
        for (const auto& [news, one] : before) {
            add(static_cast<std::uint16_t>(news.address.bytes[14] << 8U | news.address.bytes[15]));
        }
    }

    void run_until(std::int64_t end_ms) {
        for (; now_ms_ < end_ms; now_ms_ += 10) {
            store_history_[now_ms_] = entries_;
            for (auto& [news, one] : directors_) {
                step(one);
            }
            most_readers_ = std::max(most_readers_, readers());
        }
    }

    [[nodiscard]] std::size_t readers() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(directors_, [](const auto& item) { return item.second.role.reads; }));
    }

    /// Directors that neither read nor hear a reader.
    [[nodiscard]] std::size_t without_news() const {
        return static_cast<std::size_t>(std::ranges::count_if(directors_, [this](const auto& item) {
            return !item.second.role.reads && heard_readers(item.second.relay, at_ms(now_ms_)).empty();
        }));
    }

    /// The least number of members that an entry in force names.
    [[nodiscard]] std::size_t least_members_named() const {
        std::size_t least = directors_.size();
        for (const auto& [news, entry] : entries_) {
            if (directors_.at(news).role.reads) {
                least = std::min(least, entry.members.size());
            }
        }
        return least;
    }

    [[nodiscard]] std::size_t writes() const { return writes_; }
    [[nodiscard]] std::size_t cached_reads() const { return cached_reads_; }
    [[nodiscard]] std::size_t most_readers() const { return most_readers_; }

private:
    static constexpr std::int64_t cached_age_ms = 500;
    static constexpr std::int64_t report_period_ms = 700;
    static constexpr std::int64_t greeting_period_ms = 10'000;

    struct director {
        roster_member self;
        reader_role role;
        news_relay relay;
        registration state;
        member_table table;
        std::vector<endpoint> entry_readers;
        bool knows_key{false};
        bool listed{false};
        bool has_greeted{false};
        std::int64_t started_ms{0};
        std::int64_t greet_ms{0};
        std::int64_t read_ms{0};
        std::int64_t report_ms{0};
    };

    static endpoint socket_of(std::uint16_t number, std::uint16_t port) {
        return {.address = from_ipv4(0x0a010000U + number), .port = port};
    }

    [[nodiscard]] static reader_report reliable() {
        return {.listing = {.revision = 100, .digest = 7},
                .configuration_revision = 50,
                .verified_age_ms = 0,
                .steady_age_ms = 60'000};
    }

    [[nodiscard]] std::vector<roster_member> members_of(const director& one) const {
        return standing_members(one.table, at_ms(one.state.lease != 0 ? now_ms_ : one.read_ms));
    }

    [[nodiscard]] std::vector<endpoint> others_of(const director& one) const {
        std::vector<endpoint> others;
        if (one.knows_key) {
            std::ranges::transform(members_of(one), std::back_inserter(others),
                                   [](const roster_member& member) { return member.peer.news; });
        }
        return others;
    }

    void step(director& one) {
        keep_registration(one);
        if (!one.knows_key) {
            (void)update_role(one.role, one.relay, one.self.peer.news, {}, at_ms(now_ms_));
            note_reader(one.state, one.role.reads, at_ms(now_ms_));
            return;
        }
        if (now_ms_ >= one.greet_ms) {
            greet_due(one);
        }
        const bool read_before = one.role.reads;
        (void)update_role(one.role, one.relay, one.self.peer.news, others_of(one), at_ms(now_ms_));
        note_reader(one.state, one.role.reads, at_ms(now_ms_));
        if (one.role.reads && (!read_before || now_ms_ >= one.report_ms)) {
            one.report_ms = now_ms_ + report_period_ms;
            for (const auto& other : others_of(one)) {
                report(one, other);
            }
        }
    }

    void greet_due(director& one) {
        one.greet_ms = now_ms_ + greeting_period_ms;
        std::vector<endpoint> receivers;
        if (!one.has_greeted) {
            one.has_greeted = true;
            receivers = others_of(one);
            note_roster(one.role, one.self.peer.news, receivers, one.listed, at_ms(now_ms_));
        } else {
            receivers = heard_readers(one.relay, at_ms(now_ms_));
            receivers.insert(receivers.end(), one.entry_readers.begin(), one.entry_readers.end());
        }
        for (const auto& receiver : receivers) {
            greet(one, receiver);
        }
    }

    void greet(director& one, const endpoint& receiver) {
        const auto found = directors_.find(receiver);
        if (found == directors_.end() || !found->second.knows_key) {
            return;
        }
        (void)note_introduced(found->second.table, one.self, at_ms(now_ms_));
        if (found->second.role.reads) {
            report(found->second, one.self.peer.news);
        }
    }

    void report(director& from, const endpoint& receiver) {
        const auto found = directors_.find(receiver);
        if (found == directors_.end() || !found->second.knows_key) {
            return;
        }
        auto& to = found->second;
        note_report(to.relay, from.self.peer.news, reliable(), at_ms(now_ms_));
        for (const auto& named : heard_readers(from.relay, at_ms(now_ms_))) {
            if (named != receiver && !to.relay.readers.contains(named)) {
                to.relay.readers[named] = {.report = make_greeting(), .heard_at = at_ms(now_ms_)};
                greet(to, named);
            }
        }
    }

    void keep_registration(director& one) {
        const auto members = members_of(one);
        const auto next = next_step(one.state, digest_of(members));
        if (at_ms(now_ms_) < next.at) {
            return;
        }
        switch (next.step) {
            case registration_step::read_fleet:
                return read_fleet(one);
            case registration_step::start_lease:
                ++writes_;
                return note_lease_started(one.state, ++last_lease_, at_ms(now_ms_));
            case registration_step::write_entry:
                ++writes_;
                entries_[one.self.peer.news] = {.reader = one.self, .members = members};
                one.knows_key = true;
                return note_entry_written(one.state, digest_of(members), at_ms(now_ms_));
            case registration_step::renew_lease:
                return note_lease_renewed(one.state, at_ms(now_ms_));
        }
    }

    void read_fleet(director& one) {
        ++cached_reads_;
        const auto seen = store_history_.lower_bound(now_ms_ - cached_age_ms);
        fleet_reading reading;
        std::vector<reader_entry> entries;
        one.entry_readers.clear();
        one.listed = false;
        for (const auto& [news, entry] : seen->second) {
            const bool own = news == one.self.peer.news;
            reading.has_key = true;
            reading.has_own = reading.has_own || own;
            reading.readers += own ? 0 : 1;
            one.listed = one.listed || own;
            if (!own) {
                one.entry_readers.push_back(news);
            }
            one.listed =
                one.listed || std::ranges::any_of(entry.members, [&one](const roster_member& member) {
                    return member.peer.news == one.self.peer.news;
                });
            entries.push_back(entry);
        }
        one.knows_key = one.knows_key || reading.has_key;
        (void)note_listed(one.table, entries, one.self.peer.news, one.state.lease != 0, at_ms(now_ms_));
        forget_gone(one.table, at_ms(now_ms_));
        one.read_ms = now_ms_;
        note_fleet_read(one.state, reading, claim_delay(one.self.peer.news), at_ms(now_ms_));
    }

    std::map<endpoint, director> directors_;
    std::map<endpoint, reader_entry> entries_;
    std::map<std::int64_t, std::map<endpoint, reader_entry>> store_history_;
    std::uint64_t last_lease_{0};
    std::size_t writes_{0};
    std::size_t cached_reads_{0};
    std::size_t most_readers_{0};
    std::int64_t now_ms_{0};
};

// Load pattern: the first start of a fleet; nobody knows anybody. Guards against calls to the store, writes
// above all, that grow with the fleet.
TEST_CASE("DomainStartTest.AtAFirstStartFewDirectorsWriteAndAllAreNamed") {
    for (const std::uint16_t count : {2, 9, 70, 133}) {
        CAPTURE(count);
        failure_domain domain{count};
        domain.run_until(14'000);
        CHECK(domain.readers() == 2);
        CHECK(domain.without_news() == 0);
        CHECK(domain.least_members_named() + 1 == count);
        CHECK(domain.writes() <= 60);
        CHECK(domain.cached_reads() <= std::size_t{8} * count);
        const auto before = domain.writes();
        domain.run_until(34'000);
        CHECK(domain.writes() <= before + 4);
    }
}

// Load pattern: all directors are killed and start again while their entries are still there. Guards against
// a new registration of each, and against a failure domain that stays without news.
TEST_CASE("DomainStartTest.AfterARestartOfAllTheSameDirectorsReadAndFewWrite") {
    failure_domain domain{70};
    domain.run_until(14'000);
    const auto before = domain.writes();
    domain.restart_all();
    domain.run_until(16'000);
    CHECK(domain.without_news() == 0);
    domain.run_until(24'000);
    CHECK(domain.readers() == 2);
    CHECK(domain.writes() <= before + 10);
}

// Load pattern: a fifth of the fleet is added at once. Guards against new directors that hear nobody, and
// that all become readers because no entry names them yet.
TEST_CASE("DomainStartTest.AddedDirectorsAreNamedWithinSecondsAndFewWrite") {
    failure_domain domain{60};
    domain.run_until(14'000);
    const auto before = domain.writes();
    for (std::uint16_t number = 60; number < 75; ++number) {
        domain.add(number);
    }
    domain.run_until(14'500);
    CHECK(domain.without_news() == 0);
    domain.run_until(26'000);
    CHECK(domain.readers() == 2);
    CHECK(domain.least_members_named() + 1 == 75);
    CHECK(domain.writes() <= before + 16);
}

}  // namespace
}  // namespace guavaramp
