#pragma once

#include "director_fixture.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/choice.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace guavaramp::placement_model {

using namespace director_fixture;

/// A load pattern: callers that keep flows open for several requests with pauses between them, over the hosts
/// of one service in one failure domain, through directors that each see the flows that the routers' hash
/// gives them. Open loop: a caller's pauses do not depend on how it is served.
struct pattern {
    std::uint64_t seed{20261204};
    std::size_t directors{60};
    std::size_t hosts{96};
    std::vector<double> slowness{0.7, 0.7, 1.7};  ///< of the hosts, in turn; times the work of a request
    std::size_t callers{1200};
    double load{0.8};         ///< share of what the hosts can do
    double work_ms{22};       ///< mean of a request on a host of slowness 1
    double work_spread{0.5};  ///< standard deviation of its logarithm
    std::uint32_t requests_a_flow{8};
    std::uint32_t slots{2};
    std::uint32_t queue{8};
    double length_ms{20'000};
    double burst_at_ms{1e9};  ///< from then on `burst_x` times the load
    double burst_for_ms{0};
    double burst_x{1};
    double hosts_gone_at_ms{1e9};  ///< then the first `hosts_gone` leave the list
    std::size_t hosts_gone{0};
};

struct outcome {
    std::vector<double> times_ms;        ///< of answered requests
    std::size_t refused{0};              ///< by hosts with a full queue
    std::size_t refused_beside_room{0};  ///< while a third of the hosts had a free slot
    double busiest_to_mean{0};           ///< work that hosts were given, relative to their speed

    [[nodiscard]] double quantile_ms(double share) const {
        auto sorted = times_ms;
        std::ranges::sort(sorted);
        return sorted.empty()
                   ? 0
                   : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
    }
};

/// Who places new flows.
enum class placement : std::uint8_t {
    directors,   ///< the product's decision, by each director for itself
    all_knowing  ///< the host that is free first, as if one program saw everything
};

class model {
public:
    model(const pattern& load, placement by) : load_(load), by_(by), random_(load.seed), hosts_(load.hosts) {
        double capacity = 0;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            hosts_[index].slowness = load_.slowness[index % load_.slowness.size()];
            capacity += load_.slots / (hosts_[index].slowness * load_.work_ms);
        }
        const double mean_cycle_ms = static_cast<double>(load_.callers) / (capacity * load_.load);
        mean_pause_ms_ = mean_cycle_ms;
        auto directory = make_directory(make_reports(load_.hosts));
        view_ = make_view(directory);
        directors_.resize(load_.directors);
        for (std::size_t index = 0; index < directors_.size(); ++index) {
            prepare_director(directors_[index], index);
        }
        flows_.resize(load_.callers);
    }

    [[nodiscard]] outcome run() {
        for (std::size_t caller = 0; caller < flows_.size(); ++caller) {
            at(uniform() * mean_pause_ms_, [this, caller] { ask(caller); });
        }
        if (load_.hosts_gone > 0) {
            at(load_.hosts_gone_at_ms, [this] { remove_hosts(); });
        }
        while (!events_.empty() && events_.top().time_ms < load_.length_ms) {
            auto next = events_.top();
            events_.pop();
            now_ms_ = next.time_ms;
            next.run();
        }
        double most = 0;
        double sum = 0;
        for (const auto& one : hosts_) {
            most = std::max(most, one.busy_ms);
            sum += one.busy_ms;
        }
        outcome_.busiest_to_mean = most * static_cast<double>(hosts_.size()) / sum;
        return outcome_;
    }

private:
    struct host {
        double slowness{1};
        std::uint32_t working{0};
        std::deque<std::function<void()>> waiting;
        double pending_ms{0};  ///< work given and not done yet
        double busy_ms{0};
        std::uint32_t flows{0};
        bool gone{false};
    };

    struct flow {
        flow_tuple tuple;
        std::size_t director{0};
        std::size_t host{0};
        std::uint32_t sequence{0};
        std::uint32_t acknowledgement{0};
        std::uint32_t requests_left{0};
        steering_tag tag{no_tag};
    };

    struct event {
        double time_ms{0};
        std::uint64_t number{0};
        std::function<void()> run;
        bool operator<(const event& other) const {
            return time_ms != other.time_ms ? time_ms > other.time_ms : number > other.number;
        }
    };

    void prepare_director(director_state& state, std::size_t index) const {
        state.seed = hash_text("vm-" + std::to_string(index));
        state.share = {.index = index, .count = load_.directors};
    }

    double uniform() { return std::uniform_real_distribution<double>{0, 1}(random_); }

    void at(double time_ms, std::function<void()> run) {
        events_.push({.time_ms = time_ms, .number = ++last_event_, .run = std::move(run)});
    }

    [[nodiscard]] mono_time now() const {
        return at_ms(0) + std::chrono::microseconds{static_cast<std::int64_t>(now_ms_ * 1000)};
    }

    /// A new flow of `caller` from a port of its own.
    void open(std::size_t caller) {
        auto& one = flows_[caller];
        one = {.tuple = make_flow(40'000)};
        one.tuple.caller_address = 0x64400000U + ++last_flow_;
        one.director = hash_of(one.tuple) % directors_.size();
        one.requests_left =
            load_.requests_a_flow / 2 + 1 + static_cast<std::uint32_t>(uniform() * load_.requests_a_flow);
        one.sequence = 1000;
        one.acknowledgement = 5000;
        auto& state = directors_[one.director];
        if (by_ == placement::all_knowing) {
            one.host = freest_host();
        } else {
            const auto placed = decide(state, view_, opening(one.tuple), now());
            if (placed.target == nullptr) {
                return;
            }
            one.tag = placed.tag;
            one.host = static_cast<std::size_t>(placed.target->report.delivery_id) - 1;
            ++one.sequence;
            ++one.acknowledgement;
            (void)decide(state, view_, acknowledging(one.tuple, one.tag, one.acknowledgement), now());
        }
        ++hosts_[one.host].flows;
    }

    [[nodiscard]] std::size_t freest_host() const {
        std::size_t best = 0;
        double best_cost = 1e300;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            const auto& one = hosts_[index];
            const double cost = one.pending_ms + one.flows * one.slowness * load_.work_ms;
            if (!one.gone && cost < best_cost) {
                best = index;
                best_cost = cost;
            }
        }
        return best;
    }

    void ask(std::size_t caller) {
        auto& one = flows_[caller];
        if (one.requests_left == 0 || hosts_[one.host].gone) {
            close(caller);
            open(caller);
        }
        --one.requests_left;
        if (by_ == placement::directors) {
            (void)decide(directors_[one.director], view_,
                         request(one.tuple, one.tag, one.sequence, one.acknowledgement), now());
        }
        one.sequence += 200;
        arrive(caller);
        const bool bursts = now_ms_ >= load_.burst_at_ms && now_ms_ < load_.burst_at_ms + load_.burst_for_ms;
        const double pause = -std::log(1 - uniform()) * mean_pause_ms_ / (bursts ? load_.burst_x : 1);
        at(now_ms_ + std::max(pause, 1.0), [this, caller] { ask_when_idle(caller); });
    }

    /// The next request waits for the answer to the one before it.
    void ask_when_idle(std::size_t caller) {
        if (busy_.contains(caller)) {
            at(now_ms_ + 5, [this, caller] { ask_when_idle(caller); });
        } else {
            ask(caller);
        }
    }

    void arrive(std::size_t caller) {
        auto& one = hosts_[flows_[caller].host];
        const double work = load_.work_ms * one.slowness *
                            std::lognormal_distribution<double>{-load_.work_spread * load_.work_spread / 2,
                                                                load_.work_spread}(random_);
        if (one.working == load_.slots && one.waiting.size() == load_.queue) {
            ++outcome_.refused;
            const auto free = std::ranges::count_if(
                hosts_, [this](const host& other) { return !other.gone && other.working < load_.slots; });
            outcome_.refused_beside_room += static_cast<std::size_t>(free) * 3 >= hosts_.size() ? 1 : 0;
            flows_[caller].requests_left = 0;
            return;
        }
        busy_.insert(caller);
        one.pending_ms += work;
        one.busy_ms += work;
        const auto start = [this, caller, host = flows_[caller].host, work, asked_ms = now_ms_] {
            at(now_ms_ + work,
               [this, caller, host, work, asked_ms] { finish(caller, host, work, asked_ms); });
        };
        if (one.working < load_.slots) {
            ++one.working;
            start();
        } else {
            one.waiting.push_back(start);
        }
    }

    void finish(std::size_t caller, std::size_t index, double work, double asked_ms) {
        auto& served_by = hosts_[index];
        served_by.pending_ms -= work;
        if (served_by.waiting.empty()) {
            --served_by.working;
        } else {
            auto next = served_by.waiting.front();
            served_by.waiting.pop_front();
            next();
        }
        busy_.erase(caller);
        outcome_.times_ms.push_back(now_ms_ - asked_ms);
        auto& one = flows_[caller];
        one.acknowledgement += 2000;
        if (by_ == placement::directors) {
            (void)decide(directors_[one.director], view_, acknowledging_data(one), now());
        }
    }

    [[nodiscard]] static flow_packet acknowledging_data(const flow& one) {
        auto packet = acknowledging(one.tuple, one.tag, one.acknowledgement);
        packet.sequence = one.sequence;
        return packet;
    }

    void close(std::size_t caller) {
        auto& one = flows_[caller];
        if (one.sequence == 0) {
            return;
        }
        --hosts_[one.host].flows;
        if (by_ == placement::directors) {
            auto packet = acknowledging_data(one);
            packet.closes = true;
            (void)decide(directors_[one.director], view_, packet, now());
        }
    }

    void remove_hosts() {
        auto reports = make_reports(load_.hosts);
        reports.erase(reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(load_.hosts_gone));
        view_ = make_view(make_directory(reports));
        for (std::size_t index = 0; index < load_.hosts_gone; ++index) {
            hosts_[index].gone = true;
        }
    }

    pattern load_;
    placement by_;
    std::mt19937_64 random_;
    std::vector<host> hosts_;
    fleet_view view_;
    std::vector<director_state> directors_;
    std::vector<flow> flows_;
    std::set<std::size_t> busy_;
    std::priority_queue<event> events_;
    std::uint64_t last_event_{0};
    std::uint32_t last_flow_{0};
    double now_ms_{0};
    double mean_pause_ms_{0};
    outcome outcome_;
};

[[nodiscard]] inline outcome play(const pattern& load, placement by) { return model{load, by}.run(); }

}  // namespace guavaramp::placement_model
