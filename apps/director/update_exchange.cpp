#include "update_exchange.hpp"

#include <guavaramp/auth/peer_datagram.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string>

namespace guavaramp {
namespace {

/// Rate limit of a reader's messages: reports to the 132 other directors of a failure domain at the design
/// size, and the same number of messages for changes. The burst covers a change of 20 entries.
constexpr double messages_per_second = 400;
constexpr double messages_burst = 400;
/// Period at which this director introduces itself to the readers: a third of the time for which an
/// introduction is valid.
constexpr auto introduction_period = std::chrono::milliseconds{10000};
/// Number of reports that name the readers after the set of readers has changed: two of them may be lost.
constexpr std::uint32_t reports_after_readers_change = 3;
/// Period at which the membership is polled until it is known.
constexpr auto membership_poll_period = std::chrono::milliseconds{50};

mono_time now() { return std::chrono::steady_clock::now(); }

/// Returns the verification that `report` tells at `time`.
mono_time verified_at(const reader_report& report, mono_time time) noexcept {
    return time - std::chrono::milliseconds{report.verified_age_ms};
}

}  // namespace

result<peer_socket> update_exchange::open_socket(director_context& context) {
    return peer_socket::open(context, {.local = context.settings.news,
                                       .purpose = "news",
                                       .messages_per_second = messages_per_second,
                                       .messages_burst = messages_burst});
}

update_exchange::update_exchange(asio::io_context& io, director_context& context, peer_socket socket,
                                 update_exchange_callbacks callbacks)
    : context_(context),
      socket_(std::move(socket)),
      readable_(io, socket_.native_handle()),
      timer_(io),
      callbacks_(std::move(callbacks)),
      oversized_(context.counters.get("news_oversized_total", "News that do not fit a datagram")) {}

void update_exchange::start() {
    role_ = make_reader_role(context_.settings.news, now());
    wait_for_messages();
    on_timer();
}

void update_exchange::wait_for_messages() {
    readable_.async_wait(asio::posix::stream_descriptor::wait_read, [this](const std::error_code& failure) {
        if (failure) {
            return;
        }
        wait_for_messages();
        socket_.receive([this](const endpoint& sender,
                               std::span<const std::byte> payload) { handle_message(sender, payload); },
                        [this](const endpoint& sender, std::uint64_t expected) {
                            report_stale_incarnation(sender, expected);
                        });
        if (socket_.take_authentication_failure()) {
            callbacks_.authentication_failed();
        }
        schedule_timer(refresh_source());
    });
}

void update_exchange::handle_message(const endpoint& sender, std::span<const std::byte> payload) {
    const auto message = decode_relay_message(payload);
    if (!message) {
        socket_.count_rejected(message.error().kind);
        return;
    }
    const auto time = now();
    record_report(relay_, sender, message->report, time);
    callbacks_.apply_evacuations(message->report.evacuations);
    if (message->delta) {
        callbacks_.apply_delta(*message->delta);
        if (!message->forward_to.empty()) {
            send_to(message->forward_to, {.report = own_report(), .delta = message->delta});
        }
    }
    if (!source_.is_reader) {
        update_change_request(change_request_, sender, message->report, callbacks_.own_listing(), time);
    }
    if (message->changes_wanted_after) {
        answer_change_request(sender, *message->changes_wanted_after);
    }
    if (message->expected_incarnation != 0) {
        callbacks_.stale_incarnation_reported(message->expected_incarnation);
    }
    if (message->introduction) {
        callbacks_.member_introduced(*message->introduction);
        answer_introduction(sender);
    }
    introduce_to_unheard_readers(message->readers);
}

/// Answers an introduction with a report, so that a director that has just started need not wait for the next
/// periodic one.
void update_exchange::answer_introduction(const endpoint& sender) {
    if (source_.is_reader) {
        send_to(std::span{&sender, 1}, {.report = own_report(), .readers = named_readers()});
    }
}

/// Returns the report that this director sends. Only a reader reports its state, because others rely on
/// readers alone.
reader_report update_exchange::own_report() const {
    return source_.is_reader ? callbacks_.own_reader_report().value_or(make_store_lost_report())
                             : make_non_reader_report();
}

/// Returns the reliable readers, at most as many as a message may name.
std::vector<endpoint> update_exchange::named_readers() const {
    auto heard = reliable_readers(relay_, now());
    heard.resize(std::min(heard.size(), max_named_readers));
    return heard;
}

void update_exchange::answer_change_request(const endpoint& sender, std::uint64_t after_revision) {
    const auto delta = source_.is_reader ? callbacks_.changes_after(after_revision) : std::nullopt;
    if (!delta) {
        return;
    }
    for (auto& part : split_delta(*delta)) {
        queue(std::span{&sender, 1}, {.report = own_report(), .delta = std::move(part)});
    }
    socket_.flush();
}

/// Asks a reader for the changes that are missing here, if the request is due. If no answer arrives, this
/// director reads the store, see `lost_update_wait`.
void update_exchange::send_change_request_if_due() {
    if (now() < change_request_.send_at) {
        return;
    }
    change_request_.send_at = mono_time::max();
    send_to(std::span{&change_request_.reader, 1},
            {.report = make_non_reader_report(), .changes_wanted_after = callbacks_.own_listing().revision});
}

void update_exchange::report_stale_incarnation(const endpoint& sender, std::uint64_t expected_incarnation) {
    send_to(std::span{&sender, 1}, {.report = own_report(), .expected_incarnation = expected_incarnation});
}

void update_exchange::report_own_read() {
    record_own_read(role_, now());
    schedule_timer(refresh_source());
}

void update_exchange::discard_reports() {
    relay_.readers.clear();
    on_timer();
}

void update_exchange::on_timer() {
    const auto time = now();
    // Set again below. An unexpected error in between must not leave the timer unset.
    schedule_timer(time + report_period);
    introduce_if_due();
    send_change_request_if_due();
    const auto next_role_update_at = refresh_source();
    if (time >= reports_.next_report_at) {
        broadcast(std::nullopt);
        reports_.next_report_at = time + report_period;
        reports_.repetition_pending = false;
    }
    schedule_timer(next_role_update_at);
}

void update_exchange::schedule_timer(mono_time next_role_update_at) {
    next_role_update_at_ = next_role_update_at;
    const auto next_introduction_at =
        has_introduced_itself_ ? next_introduction_at_ : now() + membership_poll_period;
    timer_.expires_at(std::min(
        {reports_.next_report_at, next_role_update_at, next_introduction_at, change_request_.send_at}));
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            on_timer();
        }
    });
}

/// Introduces this director if that is due. The first introduction goes to every director in the membership;
/// at that time the membership is also recorded, which determines how long this director only listens before
/// it may become a reader. Later ones go to the readers.
void update_exchange::introduce_if_due() {
    const auto time = now();
    const auto membership = socket_.membership();
    if (membership == nullptr || time < next_introduction_at_) {
        return;
    }
    next_introduction_at_ = time + introduction_period;
    if (!has_introduced_itself_) {
        has_introduced_itself_ = true;
        const auto others = peer_update_addresses();
        record_membership(role_, context_.settings.news, others, membership->named_by_reader, time);
        send_introduction(others);
        return;
    }
    auto readers = reliable_readers(relay_, time);
    std::ranges::copy_if(
        membership->registered_readers, std::back_inserter(readers),
        [&readers](const endpoint& reader) { return std::ranges::count(readers, reader) == 0; });
    send_introduction(readers);
}

void update_exchange::send_introduction(std::span<const endpoint> receivers) {
    send_to(receivers, {.report = own_report(), .introduction = callbacks_.own_member()});
}

/// Introduces this director to those of `readers` from which it has heard no report: they do not know it yet.
/// `readers` are the readers that another director has named.
void update_exchange::introduce_to_unheard_readers(std::span<const endpoint> readers) {
    std::vector<endpoint> unheard;
    std::ranges::copy_if(readers, std::back_inserter(unheard), [this](const endpoint& reader) {
        return reader != context_.settings.news && !relay_.readers.contains(reader);
    });
    send_introduction(unheard);
}

/// Returns the readers that the next report names: those that this director hears, for the first few reports
/// after they have changed, and none otherwise.
std::vector<endpoint> update_exchange::readers_to_announce() {
    auto heard = named_readers();
    if (heard != announced_readers_) {
        announced_readers_ = heard;
        reports_with_readers_left_ = reports_after_readers_change;
    }
    if (reports_with_readers_left_ == 0) {
        return {};
    }
    --reports_with_readers_left_;
    return heard;
}

mono_time update_exchange::refresh_source() {
    const auto time = now();
    const bool was_reader = role_.is_reader;
    const auto next_role_update_at =
        update_reader_role(role_, relay_, context_.settings.news, peer_update_addresses(), time);
    const auto coverage = coverage_at(relay_, callbacks_.own_listing(), time);
    if (role_.is_reader != was_reader) {
        log_event(log_level::info, "news_source_changed",
                  {{"source", role_.is_reader ? "store" : "directors"},
                   {"readers_heard", std::to_string(relay_.readers.size())},
                   {"listing_revision", std::to_string(callbacks_.own_listing().revision)}});
    }
    if (source_.coverage && !coverage) {
        log_lost_coverage(time);
    }
    const auto relies_on_readers_until = role_.is_reader ? mono_time{}
                                         : coverage      ? coverage->until
                                                         : role_.own_read_at;
    source_ = {.is_reader = role_.is_reader,
               .relies_on_readers_until = relies_on_readers_until,
               .coverage = coverage};
    callbacks_.source_changed(source_);
    if (role_.is_reader && !was_reader) {
        broadcast(std::nullopt);
    }
    return next_role_update_at;
}

/// Logs how old the evidence was on which this director has relied until now: the last report of a reader,
/// the last time at which a reader had found its listing complete, and how many readers have reported that
/// the store does not answer them.
void update_exchange::log_lost_coverage(mono_time time) const {
    mono_time heard_at{};
    mono_time verified_at{};
    std::size_t readers_without_store = 0;
    for (const auto& [sender, reader] : relay_.readers) {
        heard_at = std::max(heard_at, reader.heard_at);
        verified_at = std::max(verified_at, reader.verified_at);
        readers_without_store += reader.report.store_lost ? 1 : 0;
    }
    log_event(log_level::info, "readers_lost",
              {{"report_age_ms", std::to_string(age_ms(heard_at, time))},
               {"verified_age_ms", std::to_string(age_ms(verified_at, time))},
               {"readers_without_store", std::to_string(readers_without_store)}});
}

void update_exchange::broadcast(const std::optional<listing_delta>& delta) {
    if (!source_.is_reader) {
        return;
    }
    const auto report = own_report();
    const auto time = now();
    record_sent_report(reports_, verified_at(report, time), time);
    schedule_timer(next_role_update_at_);
    const auto receivers = peer_update_addresses();
    if (!delta) {
        send_to(receivers, {.report = report, .readers = readers_to_announce()});
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

void update_exchange::report_verification() {
    const auto time = now();
    if (source_.is_reader && is_verification_report_due(reports_, verified_at(own_report(), time), time)) {
        broadcast(std::nullopt);
    }
}

std::vector<endpoint> update_exchange::peer_update_addresses() {
    std::vector<endpoint> addresses;
    if (const auto& membership = socket_.membership()) {
        std::ranges::transform(membership->peers, std::back_inserter(addresses),
                               &director_peer::update_address);
    }
    return addresses;
}

void update_exchange::send_to(std::span<const endpoint> receivers, const relay_message& message) {
    queue(receivers, message);
    socket_.flush();
}

void update_exchange::queue(std::span<const endpoint> receivers, const relay_message& message) {
    const auto payload = encode_relay_message(message);
    if (payload.size() + datagram_authentication_size > max_datagram_size) {
        // The receivers notice from the next report that they have missed a change, and read it from the
        // store.
        oversized_.add();
        return;
    }
    const auto time = now();
    for (const auto& receiver : receivers) {
        socket_.send(receiver, payload, time);
    }
}

}  // namespace guavaramp
