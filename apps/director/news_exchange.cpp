#include "news_exchange.hpp"

#include <guavaramp/auth/peer_datagram.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>

namespace guavaramp {
namespace {

/// Messages of a reader: reports to 132 others, the failure domain at the design size, and as much again for
/// changes; the burst is a change of 20 entries.
constexpr double messages_per_second = 400;
constexpr double messages_burst = 400;
/// How long a director that the roster does not name gets reports: three readings of the roster.
constexpr auto greeting_validity = std::chrono::seconds{30};
/// Period of looking at the roster before it is known.
constexpr auto first_look_period = std::chrono::milliseconds{50};

mono_time now() { return std::chrono::steady_clock::now(); }

}  // namespace

result<peer_socket> news_exchange::open_socket(director_context& context) {
    return peer_socket::open(context, {.local = context.settings.news,
                                       .purpose = "news",
                                       .messages_per_second = messages_per_second,
                                       .messages_burst = messages_burst});
}

news_exchange::news_exchange(asio::io_context& io, director_context& context, peer_socket socket,
                             news_hooks hooks)
    : context_(context),
      socket_(std::move(socket)),
      readable_(io, socket_.native_handle()),
      timer_(io),
      hooks_(std::move(hooks)),
      oversized_(context.counters.get("news_oversized_total", "News that do not fit a datagram")) {}

void news_exchange::start() {
    role_ = make_role(now());
    wait_for_messages();
    wake();
}

void news_exchange::wait_for_messages() {
    readable_.async_wait(asio::posix::stream_descriptor::wait_read, [this](const std::error_code& failure) {
        if (failure) {
            return;
        }
        socket_.receive(
            [this](const endpoint& sender, std::span<const std::byte> payload) { handle(sender, payload); });
        wait_until(update_source());
        wait_for_messages();
    });
}

void news_exchange::handle(const endpoint& sender, std::span<const std::byte> payload) {
    const auto message = decode_relay_message(payload);
    if (!message) {
        socket_.count_refused(message.error().kind);
        return;
    }
    const auto time = now();
    note_report(relay_, sender, message->report, time);
    if (message->delta) {
        hooks_.apply(*message->delta);
    }
    const bool is_new = std::ranges::count(listed_peers(), sender) == 0 && !greeted_.contains(sender);
    if (!is_new) {
        return;
    }
    greeted_[sender] = time + greeting_validity;
    const auto report = hooks_.report();
    if (source_.reads && report) {
        socket_.send(sender, encode_relay_message({.report = *report, .delta = {}}), time);
        socket_.flush();
    }
}

void news_exchange::wake() {
    const auto time = now();
    std::erase_if(greeted_, [time](const auto& item) { return item.second <= time; });
    greet_once();
    const auto reconsider_at = update_source();
    if (time >= report_at_) {
        report_at_ = time + report_period;
        announce(std::nullopt);
    }
    wait_until(reconsider_at);
}

void news_exchange::wait_until(mono_time reconsider_at) {
    const auto look_at = has_greeted_ ? mono_time::max() : now() + first_look_period;
    timer_.expires_at(std::min({report_at_, reconsider_at, look_at}));
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            wake();
        }
    });
}

/// Makes this director known to the readers, and decides how long to listen before becoming one.
void news_exchange::greet_once() {
    if (has_greeted_ || socket_.roster() == nullptr) {
        return;
    }
    has_greeted_ = true;
    note_roster(role_, context_.settings.news, listed_peers(), now());
    send_to_all({.report = make_greeting(), .delta = {}});
}

mono_time news_exchange::update_source() {
    const auto time = now();
    const bool read_before = role_.reads;
    const auto reconsider_at = update_role(role_, relay_, context_.settings.news, listed_peers(), time);
    const auto coverage = coverage_at(relay_, hooks_.listing(), time);
    if (role_.reads != read_before) {
        log_event(log_level::info, "news_source_changed",
                  {{"source", role_.reads ? "store" : "directors"},
                   {"readers_heard", std::to_string(relay_.readers.size())},
                   {"listing_revision", std::to_string(hooks_.listing().revision)}});
    }
    const auto follows_until = role_.reads ? mono_time{} : coverage ? coverage->until : reconsider_at;
    source_ = {.reads = role_.reads, .follows_until = follows_until, .coverage = coverage};
    hooks_.source_changed(source_);
    if (role_.reads && !read_before) {
        announce(std::nullopt);
    }
    return reconsider_at;
}

void news_exchange::announce(const std::optional<listing_delta>& delta) {
    const auto report = hooks_.report();
    if (!source_.reads || !report) {
        return;
    }
    if (!delta) {
        send_to_all({.report = *report, .delta = {}});
        return;
    }
    for (auto& part : split_delta(*delta)) {
        send_to_all({.report = *report, .delta = std::move(part)});
    }
}

std::vector<endpoint> news_exchange::listed_peers() {
    std::vector<endpoint> listed;
    if (const auto& roster = socket_.roster()) {
        std::ranges::transform(roster->peers, std::back_inserter(listed), &director_peer::news);
    }
    return listed;
}

void news_exchange::send_to_all(const relay_message& message) {
    auto receivers = listed_peers();
    std::ranges::transform(greeted_, std::back_inserter(receivers),
                           [](const auto& item) { return item.first; });
    const auto payload = encode_relay_message(message);
    if (payload.size() + datagram_seal_size > max_datagram_size) {
        // The receivers see from the next report that they have missed something, and read it themselves.
        oversized_.add();
        return;
    }
    const auto time = now();
    for (const auto& receiver : receivers) {
        socket_.send(receiver, payload, time);
    }
    socket_.flush();
}

}  // namespace guavaramp
