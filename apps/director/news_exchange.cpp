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
/// Period of introducing this director to the readers: a third of the time for which an introduction stands.
constexpr auto greeting_period = std::chrono::milliseconds{10000};
/// Reports that name the readers after these have changed: two may be lost.
constexpr std::uint32_t naming_reports = 3;
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
    role_ = make_reader_role(context_.settings.news, now());
    wait_for_messages();
    wake();
}

void news_exchange::wait_for_messages() {
    readable_.async_wait(asio::posix::stream_descriptor::wait_read, [this](const std::error_code& failure) {
        if (failure) {
            return;
        }
        wait_for_messages();
        socket_.receive(
            [this](const endpoint& sender, std::span<const std::byte> payload) { handle(sender, payload); },
            [this](const endpoint& sender, std::uint64_t expected) { refuse(sender, expected); });
        if (socket_.take_key_doubt()) {
            hooks_.key_doubted();
        }
        wait_until(update_source());
    });
}

void news_exchange::handle(const endpoint& sender, std::span<const std::byte> payload) {
    const auto message = decode_relay_message(payload);
    if (!message) {
        socket_.count_refused(message.error().kind);
        return;
    }
    const auto time = now();
    record_report(relay_, sender, message->report, time);
    if (message->delta) {
        hooks_.apply(*message->delta);
        if (!message->forward_to.empty()) {
            send_to(message->forward_to, {.report = own_report(), .delta = message->delta});
        }
    }
    if (!source_.reads) {
        update_change_request(question_, sender, message->report, hooks_.listing(), time);
    }
    if (message->changes_wanted_after) {
        answer_question(sender, *message->changes_wanted_after);
    }
    if (message->expected_incarnation != 0) {
        hooks_.outdated(message->expected_incarnation);
    }
    if (message->introduction) {
        hooks_.introduced(*message->introduction);
        answer(sender);
    }
    greet_unheard(message->readers);
}

/// An answer to an introduction, so that a director that has just started need not wait for the next report.
void news_exchange::answer(const endpoint& sender) {
    if (source_.reads) {
        send_to(std::span{&sender, 1}, {.report = own_report(), .readers = readers_heard()});
    }
}

/// What this director says of itself; only a reader's own knowledge counts.
reader_report news_exchange::own_report() const {
    return source_.reads ? hooks_.report().value_or(make_store_lost_report()) : make_non_reader_report();
}

std::vector<endpoint> news_exchange::readers_heard() const {
    auto heard = reliable_readers(relay_, now());
    heard.resize(std::min(heard.size(), max_named_readers));
    return heard;
}

void news_exchange::answer_question(const endpoint& sender, std::uint64_t after_revision) {
    const auto delta = source_.reads ? hooks_.changes_after(after_revision) : std::nullopt;
    if (!delta) {
        return;
    }
    for (auto& part : split_delta(*delta)) {
        queue(std::span{&sender, 1}, {.report = own_report(), .delta = std::move(part)});
    }
    socket_.flush();
}

/// Asks a reader for what is missing here. Without an answer the store is asked, see `lost_update_wait`.
void news_exchange::ask_due() {
    if (now() < question_.send_at) {
        return;
    }
    question_.send_at = mono_time::max();
    send_to(std::span{&question_.reader, 1},
            {.report = make_non_reader_report(), .changes_wanted_after = hooks_.listing().revision});
}

void news_exchange::refuse(const endpoint& sender, std::uint64_t expected_incarnation) {
    send_to(std::span{&sender, 1}, {.report = own_report(), .expected_incarnation = expected_incarnation});
}

void news_exchange::forget_reports() {
    relay_.readers.clear();
    wake();
}

void news_exchange::wake() {
    const auto time = now();
    greet_due();
    ask_due();
    const auto reconsider_at = update_source();
    if (time >= report_at_) {
        report_at_ = time + report_period;
        announce(std::nullopt);
    }
    wait_until(reconsider_at);
}

void news_exchange::wait_until(mono_time reconsider_at) {
    const auto greet_at = has_greeted_ ? greet_at_ : now() + first_look_period;
    timer_.expires_at(std::min({report_at_, reconsider_at, greet_at, question_.send_at}));
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            wake();
        }
    });
}

/// Makes this director known: once to all that the roster names, and decides then how long to listen before
/// becoming a reader; after that to the readers.
void news_exchange::greet_due() {
    const auto time = now();
    const auto roster = socket_.roster();
    if (roster == nullptr || time < greet_at_) {
        return;
    }
    greet_at_ = time + greeting_period;
    if (!has_greeted_) {
        has_greeted_ = true;
        const auto others = listed_peers();
        record_membership(role_, context_.settings.news, others, roster->listed, time);
        greet(others);
        return;
    }
    auto readers = reliable_readers(relay_, time);
    std::ranges::copy_if(roster->readers, std::back_inserter(readers), [&readers](const endpoint& reader) {
        return std::ranges::count(readers, reader) == 0;
    });
    greet(readers);
}

void news_exchange::greet(std::span<const endpoint> receivers) {
    send_to(receivers, {.report = own_report(), .introduction = hooks_.self()});
}

/// Readers that others have named and that this director has not heard do not know it yet.
void news_exchange::greet_unheard(std::span<const endpoint> named) {
    std::vector<endpoint> unheard;
    std::ranges::copy_if(named, std::back_inserter(unheard), [this](const endpoint& reader) {
        return reader != context_.settings.news && !relay_.readers.contains(reader);
    });
    greet(unheard);
}

/// The readers that a report names: those that this director hears, while they are new.
std::vector<endpoint> news_exchange::readers_to_name() {
    auto heard = readers_heard();
    if (heard != named_readers_) {
        named_readers_ = heard;
        naming_reports_left_ = naming_reports;
    }
    if (naming_reports_left_ == 0) {
        return {};
    }
    --naming_reports_left_;
    return heard;
}

mono_time news_exchange::update_source() {
    const auto time = now();
    const bool read_before = role_.is_reader;
    const auto reconsider_at =
        update_reader_role(role_, relay_, context_.settings.news, listed_peers(), time);
    const auto coverage = coverage_at(relay_, hooks_.listing(), time);
    if (role_.is_reader != read_before) {
        log_event(log_level::info, "news_source_changed",
                  {{"source", role_.is_reader ? "store" : "directors"},
                   {"readers_heard", std::to_string(relay_.readers.size())},
                   {"listing_revision", std::to_string(hooks_.listing().revision)}});
    }
    const auto follows_until = role_.is_reader ? mono_time{} : coverage ? coverage->until : reconsider_at;
    source_ = {.reads = role_.is_reader, .follows_until = follows_until, .coverage = coverage};
    hooks_.source_changed(source_);
    if (role_.is_reader && !read_before) {
        announce(std::nullopt);
    }
    return reconsider_at;
}

void news_exchange::announce(const std::optional<listing_delta>& delta) {
    if (!source_.reads) {
        return;
    }
    const auto report = own_report();
    const auto receivers = listed_peers();
    if (!delta) {
        send_to(receivers, {.report = report, .readers = readers_to_name()});
        return;
    }
    const auto groups = fanout_groups(receivers, context_.settings.news);
    for (const auto& part : split_delta(*delta)) {
        for (const auto& group : groups) {
            queue(std::span{&group.forwarder, 1},
                  {.report = report, .delta = part, .forward_to = group.members});
        }
    }
    socket_.flush();
}

std::vector<endpoint> news_exchange::listed_peers() {
    std::vector<endpoint> listed;
    if (const auto& roster = socket_.roster()) {
        std::ranges::transform(roster->peers, std::back_inserter(listed), &director_peer::update_address);
    }
    return listed;
}

void news_exchange::send_to(std::span<const endpoint> receivers, const relay_message& message) {
    queue(receivers, message);
    socket_.flush();
}

void news_exchange::queue(std::span<const endpoint> receivers, const relay_message& message) {
    const auto payload = encode_relay_message(message);
    if (payload.size() + datagram_authentication_size > max_datagram_size) {
        // The receivers see from the next report that they have missed something, and read it themselves.
        oversized_.add();
        return;
    }
    const auto time = now();
    for (const auto& receiver : receivers) {
        socket_.send(receiver, payload, time);
    }
}

}  // namespace guavaramp
