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
        add(address);
    }
}

void neighbour_finder::add(const endpoint& admin) {
    const bool known =
        std::ranges::any_of(asked_, [&admin](const asked_neighbour& asked) { return asked.admin == admin; });
    if (known || admin == context_.settings.admin || asked_.size() >= max_neighbours) {
        return;
    }
    asked_.push_back({.admin = admin, .session = std::make_unique<http_session>(io_, admin)});
    known_.emplace_back();
}

void neighbour_finder::start() { look_after(neighbour_search_delay); }

void neighbour_finder::look_after(std::chrono::milliseconds wait) {
    timer_.expires_after(wait);
    timer_.async_wait([this, wait](const std::error_code& failure) {
        if (failure) {
            return;
        }
        if (is_ready_()) {
            // Closes the connections: a neighbour may have those of the whole fleet.
            asked_.clear();
            known_.clear();
            publish();
            return;
        }
        for (std::size_t position = 0; position < asked_.size(); ++position) {
            ask(position);
        }
        publish();
        look_after(next_neighbour_poll_wait(wait, chosen_.has_value()));
    });
}

void neighbour_finder::ask(std::size_t position) {
    auto& session = *asked_[position].session;
    if (!session.is_busy()) {
        session.get("/v1/neighbour", now() + neighbour_timeout,
                    [this, position](const result<http_response>& answer) { answered(position, answer); });
    }
}

void neighbour_finder::answered(std::size_t position, const result<http_response>& answer) {
    if (!answer || answer->status != 200) {
        known_[position].answered_at = mono_time{};
        return;
    }
    const auto decoded = decode_neighbour_answer(answer->body);
    if (!decoded) {
        log_event(log_level::warning, "neighbour_unreadable", {{"message", decoded.error().message}});
        return;
    }
    known_[position] = {.answer = *decoded, .answered_at = now()};
    if (decoded->failure_domain == context_.settings.failure_domain) {
        std::ranges::for_each(decoded->domain_admin_addresses, [this](const endpoint& other) { add(other); });
    }
    publish();
}

void neighbour_finder::publish() {
    const auto chosen = choose_neighbour(known_, context_.settings.failure_domain, now());
    if (chosen == chosen_) {
        return;
    }
    chosen_ = chosen;
    context_.neighbour.set(std::make_shared<const std::optional<endpoint>>(chosen));
    log_event(log_level::info, "neighbour_changed", {{"neighbour", chosen ? to_string(*chosen) : "none"}});
}

}  // namespace guavaramp
