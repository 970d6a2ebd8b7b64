#pragma once

#include "director_context.hpp"

#include <guavaramp/director/neighbours.hpp>
#include <guavaramp/net/http_session.hpp>

#include <asio.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace guavaramp {

/// Looks for a neighbour that takes this director's packets while it cannot decide itself, and publishes it.
/// To be used on the thread of the Asio context only.
class neighbour_finder {
public:
    /// `is_ready` tells whether this director can decide; no neighbour is looked for from then on.
    neighbour_finder(asio::io_context& io, director_context& context, std::function<bool()> is_ready);

    /// Starts to look, unless this director becomes ready at once.
    void start();

private:
    struct asked_neighbour {
        endpoint admin;
        std::unique_ptr<http_session> session;
    };

    void look_after(std::chrono::milliseconds wait);
    void add(const endpoint& admin);
    void ask(std::size_t position);
    void answered(std::size_t position, const result<http_response>& answer);
    void publish();

    asio::io_context& io_;
    director_context& context_;
    std::function<bool()> is_ready_;
    asio::steady_timer timer_;
    std::vector<asked_neighbour> asked_;
    std::vector<known_neighbour> known_;  ///< in the order of `asked_`
    std::optional<endpoint> chosen_;
};

}  // namespace guavaramp
