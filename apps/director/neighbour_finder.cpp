#include "neighbour_finder.hpp"

#include <guavaramp/telemetry/log.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

mono_time now() { return std::chrono::steady_clock::now(); }

}  // namespace

neighbour_finder::neighbour_finder(asio::io_context& io, director_context& context,
                                   std::function<bool()> is_ready)
    : io_(io), context_(context), is_ready_(std::move(is_ready)), timer_(io) {
    for (const auto& address : context.settings.neighbours) {
        add_candidate(address);
    }
}

void neighbour_finder::add_candidate(const endpoint& admin) {
    const bool already_added = std::ranges::any_of(
        candidates_, [&admin](const candidate& existing) { return existing.admin == admin; });
    if (already_added || admin == context_.settings.admin || candidates_.size() >= max_neighbours) {
        return;
    }
    candidates_.push_back({.admin = admin, .session = std::make_unique<http_session>(io_, admin)});
    answers_.emplace_back();
}

void neighbour_finder::start() { poll_after(neighbour_search_delay); }

void neighbour_finder::poll_after(std::chrono::milliseconds wait) {
    timer_.expires_after(wait);
    timer_.async_wait([this, wait](const std::error_code& failure) {
        if (failure) {
            return;
        }
        if (is_ready_()) {
            // Closes the connections, because a neighbour may be serving connections from the whole fleet.
            candidates_.clear();
            answers_.clear();
            publish();
            return;
        }
        for (std::size_t position = 0; position < candidates_.size(); ++position) {
            query_candidate(position);
        }
        publish();
        poll_after(next_neighbour_poll_wait(wait, chosen_.has_value()));
    });
}

void neighbour_finder::query_candidate(std::size_t position) {
    auto& session = *candidates_[position].session;
    if (!session.is_busy()) {
        session.get(
            "/v1/neighbour", now() + neighbour_timeout,
            [this, position](const result<http_response>& response) { on_response(position, response); });
    }
}

void neighbour_finder::on_response(std::size_t position, const result<http_response>& response) {
    if (!response || response->status != 200) {
        answers_[position].answered_at = mono_time{};
        return;
    }
    const auto decoded = decode_neighbour_answer(response->body);
    if (!decoded) {
        log_event(log_level::warning, "neighbour_unreadable", {{"message", decoded.error().message}});
        return;
    }
    answers_[position] = {.answer = *decoded, .answered_at = now()};
    if (decoded->failure_domain == context_.settings.failure_domain) {
        std::ranges::for_each(decoded->domain_admin_addresses,
                              [this](const endpoint& other) { add_candidate(other); });
    }
    publish();
}

void neighbour_finder::publish() {
    const auto chosen = choose_neighbour(answers_, context_.settings.failure_domain, now());
    if (chosen == chosen_) {
        return;
    }
    chosen_ = chosen;
    context_.neighbour.set(std::make_shared<const std::optional<endpoint>>(chosen));
    log_event(log_level::info, "neighbour_changed", {{"neighbour", chosen ? to_string(*chosen) : "none"}});
}

}  // namespace guavaramp
