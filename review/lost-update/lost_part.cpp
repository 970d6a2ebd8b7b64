// Shows that a director does not notice the loss of one message of an update of the listing. A reader whose
// full read has found 9 new entries and 12 removed ones sends three messages; the second one does not arrive.
// Not a case of the review, since the directors' own messages cannot be lost on loopback by ordinary means.
// Exit status: 1 if the loss is not noticed.
#include <guavaramp/director/listing_delta.hpp>

#include <cstdio>
#include <string>

using namespace guavaramp;

int main() {
    const mono_time now{std::chrono::seconds{100}};
    const auto report = [](int number, std::uint64_t revision) {
        return upstream_report{.id = "i-" + std::to_string(1000 + number),
                               .delivery_id = static_cast<std::uint64_t>(1000 + number),
                               .service = "dispatch",
                               .address = 0x7f140001U + static_cast<std::uint32_t>(number),
                               .port = 8080,
                               .failure_domain = "sontra",
                               .revision = revision,
                               .created_revision = revision};
    };
    constexpr std::uint64_t known_before = 50;  // revision up to which sender and receiver know every change
    constexpr std::uint64_t read_at = 80;       // revision of the sender's full read
    upstream_directory receiver;
    upstream_listing before{.revision = known_before};
    for (int number = 0; number < 12; ++number) {
        before.reports.push_back(report(number, 10 + static_cast<std::uint64_t>(number)));
    }
    (void)apply_listing(receiver, before, now, now - std::chrono::seconds{60});
    listing_delta delta{.after_revision = known_before, .update = {.revision = read_at}};
    for (int number = 0; number < 9; ++number) {
        delta.update.reports.push_back(report(100 + number, 60 + static_cast<std::uint64_t>(number)));
    }
    for (int number = 0; number < 12; ++number) {
        delta.update.removed.push_back({.id = report(number, 0).id, .revision = read_at});
    }
    const auto parts = split_delta(delta);
    std::uint64_t known = known_before;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        const auto& part = parts[index];
        std::printf("message %zu: after %llu, up to %llu, %zu entries, %zu removed%s\n", index + 1,
                    static_cast<unsigned long long>(part.after_revision),
                    static_cast<unsigned long long>(part.update.revision), part.update.reports.size(),
                    part.update.removed.size(), index == 1 ? ": lost" : "");
        if (index == 1) {
            continue;
        }
        const auto applied = apply_delta(receiver, part, known, now, now - std::chrono::seconds{60});
        std::printf("  %s\n", applied.status == delta_status::gap ? "noticed: changes before it are missing"
                                                                  : "applied");
        known = applied.known_revision;
    }
    std::size_t missing = 0;
    for (const auto& entry : delta.update.reports) {
        missing += receiver.by_id.contains(entry.id) ? 0 : 1;
    }
    std::printf("the receiver claims to know every change up to %llu; it lacks %zu of %zu entries\n",
                static_cast<unsigned long long>(known), missing, delta.update.reports.size());
    return known == read_at && missing > 0 ? 1 : 0;
}
