#include <guavaramp/admission/admission.hpp>

#include <algorithm>
#include <cmath>

namespace guavaramp {
namespace {

// A class counts as active for this long after its last request, so that lower classes do not fill the hosts
// between two requests of a steady, sparse class.
constexpr auto activity_window = std::chrono::seconds{3};
constexpr double use_time_constant_s = 3.0;
constexpr double rate_time_constant_s = 2.0;
constexpr std::size_t most_urgent = 0;

std::size_t index_of(work_class urgency) noexcept { return static_cast<std::size_t>(urgency); }

double seconds_between(mono_time from, mono_time to) noexcept {
    return std::chrono::duration<double>(to - from).count();
}

double decayed(double value, mono_time since, mono_time now, double time_constant_s) {
    return value * std::exp(-seconds_between(since, now) / time_constant_s);
}

mono_time after(mono_time from, double seconds) {
    return from + std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

admission::admission(const admission_options& options, std::uint64_t seed)
    : options_(options), random_(seed) {
    set_daemons(1);
}

void admission::set_daemons(std::size_t count) {
    share_ = options_.slots_per_host / static_cast<double>(std::max<std::size_t>(1, count));
    options_.limit.initial = share_;
    options_.limit.least = share_ / 2.0;
}

void admission::set_upstreams(service_id service, std::vector<admission_upstream> upstreams, mono_time now) {
    for (const auto& target : upstreams) {
        if (!hosts_.contains(target.host)) {
            host_state fresh{.limit = make_host_limit(options_.limit, now), .use_updated = now};
            for (auto& credit : fresh.credit) {
                credit.refilled = now;
            }
            hosts_.emplace(target.host, fresh);
        }
    }
    services_[service].upstreams = std::move(upstreams);
}

void admission::submit(const admission_request& request, mono_time now) {
    auto& service = services_[request.service];
    const waiting item{.request = request, .arrived = now};
    if (service.upstreams.empty()) {
        reject(item, rejection::no_active_upstream);
        return;
    }
    auto& queue = service.queues[options_.enabled ? index_of(request.urgency) : most_urgent];
    queue.push_back(item);
    if (!options_.enabled) {
        return;
    }
    if (after(now, expected_service_s(service)) > request.deadline) {
        reject(item, rejection::deadline);
        queue.pop_back();
        return;
    }
}

// Drops the oldest requests that the recent rate would not reach in time. A caller then learns at once that
// it was not served, and the flood holds no connections and memory while it waits.
void admission::trim(service_state& service, std::size_t urgency, mono_time now) {
    auto& queue = service.queues[urgency];
    if (queue.size() <= options_.least_queue) {
        return;
    }
    const double sent_per_s =
        decayed(service.rates[urgency].recent, service.rates[urgency].updated, now, rate_time_constant_s) /
        rate_time_constant_s;
    const auto reachable = static_cast<std::size_t>(sent_per_s * options_.queue_s);
    const std::size_t most = std::clamp(reachable, options_.least_queue, options_.max_queue);
    while (queue.size() > most) {
        reject(queue.front(), rejection::overloaded);
        queue.pop_front();
    }
}

bool admission::finish(std::uint64_t ticket, send_result how, bool may_retry, mono_time now) {
    const auto node = running_.extract(ticket);
    if (node.empty()) {
        return false;
    }
    const auto& ended = node.mapped();
    auto& host = hosts_.at(ended.host);
    const double duration_s = seconds_between(ended.sent, now);
    const auto urgency = index_of(ended.item.request.urgency);
    switch (how) {
        case send_result::answered:
            record_answered(host.limit, options_.limit, duration_s, now);
            charge(host, urgency, std::min(duration_s, 2.0 * ended.charged_s) - ended.charged_s, now);
            return false;
        case send_result::ended:
            record_ended(host.limit, options_.limit, now);
            break;
        case send_result::refused:
        case send_result::not_sent:
            record_refused(host.limit, options_.limit, random(), now);
            charge(host, urgency, -ended.charged_s, now);
            break;
    }
    auto& service = services_[ended.item.request.service];
    const bool in_time = after(now, expected_service_s(service)) <= ended.item.request.deadline;
    if (!may_retry || !in_time || !take_retry(service.retries)) {
        return false;
    }
    auto again = ended.item;
    again.avoid = ended.upstream;
    service.queues[options_.enabled ? urgency : most_urgent].push_back(again);
    return true;
}

bool admission::send_copy(std::uint64_t ticket, std::uint64_t copy_ticket, mono_time now) {
    const auto found = running_.find(ticket);
    if (found == running_.end() || !options_.enabled) {
        return false;
    }
    auto copy = found->second.item;
    copy.request.ticket = copy_ticket;
    copy.avoid = found->second.upstream;
    const auto* target =
        choose(services_[copy.request.service], index_of(copy.request.urgency), copy.avoid, now);
    if (target == nullptr || target->host == found->second.host) {
        return false;
    }
    send(copy, *target, now);
    return true;
}

bool admission::withdraw(std::uint64_t ticket) {
    for (auto& [id, service] : services_) {
        for (auto& queue : service.queues) {
            const auto found = std::find_if(queue.begin(), queue.end(), [ticket](const waiting& item) {
                return item.request.ticket == ticket;
            });
            if (found != queue.end()) {
                queue.erase(found);
                return true;
            }
        }
    }
    return false;
}

std::vector<admission_effect> admission::poll(mono_time now) {
    for (auto& [id, service] : services_) {
        if (!options_.enabled) {
            send_unlimited(service, now);
            continue;
        }
        expire(service, now);
        for (std::size_t urgency = 0; urgency < work_class_count; ++urgency) {
            if (!service.queues[urgency].empty()) {
                for (const auto& target : service.upstreams) {
                    hosts_.at(target.host).last_wanted[urgency] = now;
                }
            }
        }
    }
    if (options_.enabled) {
        // Lower classes go first, because what they may use beside a higher class is already bounded by
        // their credit; the other order would leave them nothing under a flood of urgent requests.
        for (std::size_t urgency = work_class_count; urgency-- > 0;) {
            for (auto& [id, service] : services_) {
                while (send_next(service, urgency, now)) {
                }
                trim(service, urgency, now);
            }
        }
    }
    std::vector<admission_effect> due;
    due.swap(effects_);
    return due;
}

void admission::expire(service_state& service, mono_time now) {
    const double service_s = expected_service_s(service);
    for (auto& queue : service.queues) {
        std::erase_if(queue, [&](const waiting& item) {
            const bool late = after(now, service_s) > item.request.deadline;
            const bool old = seconds_between(item.arrived, now) > options_.max_wait_s;
            if (late || old || service.upstreams.empty()) {
                reject(item, late ? rejection::deadline : rejection::overloaded);
                return true;
            }
            return false;
        });
    }
}

bool admission::send_next(service_state& service, std::size_t urgency, mono_time now) {
    auto& queue = service.queues[urgency];
    if (queue.empty()) {
        return false;
    }
    const bool overloaded = seconds_between(queue.front().arrived, now) > options_.overload_wait_s;
    const auto item = overloaded ? queue.back() : queue.front();
    const auto* target = choose(service, urgency, item.avoid, now);
    if (target == nullptr) {
        return false;
    }
    if (overloaded) {
        queue.pop_back();
    } else {
        queue.pop_front();
    }
    if (item.avoid == no_upstream) {
        record_first_attempt(service.retries);
    }
    auto& rate = service.rates[urgency];
    rate.recent = decayed(rate.recent, rate.updated, now, rate_time_constant_s) + 1.0;
    rate.updated = now;
    send(item, *target, now);
    return true;
}

void admission::send(const waiting& item, const admission_upstream& target, mono_time now) {
    auto& host = hosts_.at(target.host);
    const double expected_s = service_time_s(host.limit, options_.limit);
    record_sent(host.limit);
    charge(host, index_of(item.request.urgency), expected_s, now);
    running_.insert_or_assign(
        item.request.ticket,
        running{
            .item = item, .upstream = target.id, .host = target.host, .sent = now, .charged_s = expected_s});
    effects_.push_back({.ticket = item.request.ticket, .upstream = target.id});
}

void admission::send_unlimited(service_state& service, mono_time now) {
    auto& queue = service.queues[most_urgent];
    while (!queue.empty() && !service.upstreams.empty()) {
        const auto pick = static_cast<std::size_t>(random() * static_cast<double>(service.upstreams.size()));
        if (queue.front().avoid == no_upstream) {
            record_first_attempt(service.retries);
        }
        send(queue.front(), service.upstreams[pick], now);
        queue.pop_front();
    }
}

const admission_upstream* admission::choose(service_state& service, std::size_t urgency, upstream_id avoid,
                                            mono_time now) {
    std::vector<const admission_upstream*> open;
    double total = 0.0;
    for (const auto& target : service.upstreams) {
        auto& host = hosts_.at(target.host);
        if (target.id == avoid && service.upstreams.size() > 1) {
            continue;
        }
        if (!has_room(host.limit, now)) {
            host.limit.wanted = true;
            continue;
        }
        if (admits(host, urgency, now)) {
            open.push_back(&target);
            total += speed_weight(target);
        }
    }
    if (open.empty()) {
        return nullptr;
    }
    const auto draw = [&] {
        double point = random() * total;
        for (const auto* target : open) {
            point -= speed_weight(*target);
            if (point <= 0.0) {
                return target;
            }
        }
        return open.back();
    };
    // The better of two draws in proportion to speed (Mitzenmacher, 2001), by outstanding work over speed.
    const auto* first = draw();
    const auto* second = draw();
    const auto cost = [&](const admission_upstream& target) {
        return (hosts_.at(target.host).limit.outstanding + 1) / speed_weight(target);
    };
    return cost(*first) <= cost(*second) ? first : second;
}

bool admission::higher_class_active(const host_state& host, std::size_t urgency, mono_time now) const {
    return std::any_of(host.last_wanted.begin(),
                       host.last_wanted.begin() + static_cast<std::ptrdiff_t>(urgency),
                       [now](mono_time last) { return last != mono_time{} && now - last < activity_window; });
}

bool admission::admits(host_state& host, std::size_t urgency, mono_time now) const {
    if (!higher_class_active(host, urgency, now)) {
        return true;
    }
    refill(host, urgency, now);
    return host.credit[urgency].seconds > 0.0;
}

void admission::refill(host_state& host, std::size_t urgency, mono_time now) const {
    auto& credit = host.credit[urgency];
    const double elapsed_s = seconds_between(credit.refilled, now);
    credit.refilled = now;
    const double use = decayed(host.higher_use, host.use_updated, now, use_time_constant_s);
    const double rate = std::max(options_.least_share * share_, options_.target_use * share_ - use);
    const double most = service_time_s(host.limit, options_.limit);
    credit.seconds = std::min(most, credit.seconds + elapsed_s * rate);
}

void admission::charge(host_state& host, std::size_t urgency, double seconds, mono_time now) const {
    if (urgency != most_urgent) {
        refill(host, urgency, now);
        // Debts from before a higher class became active must not block the guaranteed share.
        const double least = -2.0 * service_time_s(host.limit, options_.limit);
        host.credit[urgency].seconds = std::max(least, host.credit[urgency].seconds - seconds);
        return;
    }
    const double use = decayed(host.higher_use, host.use_updated, now, use_time_constant_s);
    host.higher_use = std::max(0.0, use + seconds / use_time_constant_s);
    host.use_updated = now;
}

double admission::expected_service_s(const service_state& service) const {
    double least = options_.limit.default_latency_s;
    bool observed = false;
    for (const auto& target : service.upstreams) {
        const auto& limit = hosts_.at(target.host).limit;
        if (limit.base_latency_s > 0.0) {
            least = observed ? std::min(least, limit.base_latency_s) : limit.base_latency_s;
            observed = true;
        }
    }
    return least;
}

double admission::speed_weight(const admission_upstream& target) const {
    return target.weight / service_time_s(hosts_.at(target.host).limit, options_.limit);
}

void admission::reject(const waiting& item, rejection reason) {
    effects_.push_back(
        {.ticket = item.request.ticket, .reason = reason, .retry_after_ms = suggest_retry_after_ms()});
}

std::int64_t admission::suggest_retry_after_ms() {
    return options_.retry_after_ms +
           static_cast<std::int64_t>(random() * static_cast<double>(options_.retry_after_ms));
}

double admission::random() { return std::uniform_real_distribution<double>{0.0, 1.0}(random_); }

std::size_t admission::queued(work_class urgency) const {
    std::size_t total = 0;
    for (const auto& [id, service] : services_) {
        total += service.queues[index_of(urgency)].size();
    }
    return total;
}

std::size_t admission::queued_for(service_id service) const {
    const auto found = services_.find(service);
    std::size_t total = 0;
    if (found != services_.end()) {
        for (const auto& queue : found->second.queues) {
            total += queue.size();
        }
    }
    return total;
}

double admission::limit_of(const ip_address& host) const { return hosts_.at(host).limit.limit; }

int admission::outstanding_at(const ip_address& host) const { return hosts_.at(host).limit.outstanding; }

const char* to_string(rejection reason) noexcept {
    switch (reason) {
        case rejection::overloaded:
            return "overloaded";
        case rejection::deadline:
            return "deadline";
        case rejection::no_active_upstream:
            return "no_active_upstream";
        case rejection::refused:
            return "refused";
        case rejection::none:
            break;
    }
    return "none";
}

}  // namespace guavaramp
