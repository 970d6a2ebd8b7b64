#pragma once

#include "director_context.hpp"

#include <guavaramp/director/registration.hpp>
#include <guavaramp/net/http_session.hpp>

#include <asio.hpp>

#include <random>
#include <string>

namespace guavaramp {

/// Keeps this director's entry in the platform's store and publishes the others' as a `fleet_roster`. To be
/// used on the thread of the Asio context only.
class roster_keeper {
public:
    roster_keeper(asio::io_context& io, director_context& context);

    /// Starts to register. Goes on until the context's end.
    void start();

private:
    void take_step();
    void wait_for_step();
    void read_fleet();
    void fleet_read(const result<http_response>& answer);
    void start_lease();
    void write_entry();
    void write_key();
    void renew_lease();
    void failed(const error& failure);
    void publish();
    [[nodiscard]] std::string make_fleet_key();

    director_context& context_;
    asio::steady_timer timer_;
    http_session session_;
    registration state_;
    fleet_roster roster_;
    std::random_device random_;
    counter& calls_;
    counter& failures_;
    counter& peers_known_;
};

}  // namespace guavaramp
