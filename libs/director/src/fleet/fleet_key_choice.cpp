#include <guavaramp/director/fleet_key_choice.hpp>

namespace guavaramp {

fleet_key_choice choose_fleet_key(known_fleet_key& own, const fleet_key_reading& reading) {
    const bool is_from_backup =
        !own.key.empty() && reading.stored != own.key && reading.era > own.era && !own.disputed;
    if (is_from_backup) {
        // A director that has started since the restore knows only the store's key.
        fleet_key_choice choice{.accepted = {own.key}, .write_back = true};
        if (reading.stored) {
            choice.accepted.push_back(*reading.stored);
        }
        return choice;
    }
    if (reading.stored) {
        own = {.key = *reading.stored, .era = reading.era};
    }
    return own.key.empty() ? fleet_key_choice{} : fleet_key_choice{.accepted = {own.key}};
}

}  // namespace guavaramp
