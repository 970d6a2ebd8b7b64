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

/// Finds a neighbour, that is, another director that handles this director's packets while this director
/// cannot decide them itself, and publishes its packet address in `director_context::neighbour`. Must be used
/// on the thread of the Asio context only.
class neighbour_finder {
public:
    /// `is_ready` returns whether this director can decide packets; once it returns true, the search ends.
    neighbour_finder(asio::io_context& io, director_context& context, std::function<bool()> is_ready);

    /// Starts the search after `neighbour_search_delay`, unless this director has become ready by then.
    void start();

private:
    /// A director that is polled, with the connection to its administrative address.
    struct candidate {
        endpoint admin;
        std::unique_ptr<http_session> session;
    };

    /// Polls all candidates after `wait`, and again until this director is ready.
    void poll_after(std::chrono::milliseconds wait);
    void add_candidate(const endpoint& admin);
    void query_candidate(std::size_t position);
    void on_response(std::size_t position, const result<http_response>& response);
    void publish();

    asio::io_context& io_;
    director_context& context_;
    std::function<bool()> is_ready_;
    asio::steady_timer timer_;
    std::vector<candidate> candidates_;
    std::vector<known_neighbour> answers_;  ///< last answer of each candidate, in the order of `candidates_`
    std::optional<endpoint> chosen_;
};

}  // namespace guavaramp
