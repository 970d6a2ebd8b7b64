#include <guavaramp/net/http.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace guavaramp {
namespace {

constexpr long max_idle_connections = 256;
constexpr int poll_timeout_ms = 100;

struct pending_call {
    std::uint64_t number{0};
    http_call call;
    std::function<void(http_outcome)> done;
};

struct active_call {
    std::uint64_t number{0};
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    http_call call;
    std::function<void(http_outcome)> done;
    http_response response;
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<active_call*>(target)->response.body.append(data, size * count);
    return size * count;
}

error_kind error_kind_for(CURLcode code) noexcept {
    return code == CURLE_OPERATION_TIMEDOUT ? error_kind::deadline_exceeded : error_kind::unavailable;
}

void configure_transfer(active_call& active, const std::string& interface) {
    CURL* easy = active.easy;
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        active.call.deadline - std::chrono::steady_clock::now());
    curl_easy_setopt(easy, CURLOPT_URL, active.call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, active.call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, static_cast<long>(remaining.count())));
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &active);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &active);
    if (!interface.empty()) {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, interface.c_str());
    }
    if (!active.call.ca_file.empty()) {
        curl_easy_setopt(easy, CURLOPT_CAINFO, active.call.ca_file.c_str());
    }
    if (active.call.at_most_once) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!active.call.body.empty() || active.call.method == "POST" || active.call.method == "PUT") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, active.call.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(active.call.body.size()));
        active.headers = curl_slist_append(active.headers, "Content-Type: application/json");
    }
    // An empty Expect header keeps libcurl from waiting a second for "100 Continue" before it sends a larger
    // body.
    active.headers = curl_slist_append(active.headers, "Expect:");
    for (const auto& [name, value] : active.call.headers) {
        active.headers = curl_slist_append(active.headers, (name + ": " + value).c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, active.headers);
}

}  // namespace

struct http_client::state {
    CURLM* multi{nullptr};
    std::string interface;  ///< source address in libcurl's form "host!ADDRESS", or empty
    std::mutex mutex;
    std::deque<pending_call> pending;
    std::vector<std::uint64_t> cancelled;
    std::atomic<std::uint64_t> next_number{1};
    std::atomic<bool> stopping{false};
    std::unordered_map<std::uint64_t, std::unique_ptr<active_call>> active;
    std::vector<CURL*> idle_handles;
    std::thread thread;

    void run();
    void start_and_cancel_calls();
    void start_call(pending_call call);
    void finish_cancelled_call(std::uint64_t number);
    void finish_completed_calls();
    void finish(active_call& finished, http_outcome outcome);
    void cancel_all_calls();
};

// Both lists are taken at once: a cancellation that is taken without its call would be lost.
void http_client::state::start_and_cancel_calls() {
    std::deque<pending_call> started;
    std::vector<std::uint64_t> ended;
    {
        const std::lock_guard lock{mutex};
        started.swap(pending);
        ended.swap(cancelled);
    }
    for (auto& call : started) {
        start_call(std::move(call));
    }
    for (const auto number : ended) {
        finish_cancelled_call(number);
    }
}

void http_client::state::start_call(pending_call call) {
    auto started = std::make_unique<active_call>();
    started->number = call.number;
    started->call = std::move(call.call);
    started->done = std::move(call.done);
    if (idle_handles.empty()) {
        started->easy = curl_easy_init();
    } else {
        started->easy = idle_handles.back();
        idle_handles.pop_back();
    }
    configure_transfer(*started, interface);
    curl_multi_add_handle(multi, started->easy);
    active.emplace(started->number, std::move(started));
}

void http_client::state::finish(active_call& finished, http_outcome outcome) {
    curl_multi_remove_handle(multi, finished.easy);
    curl_easy_reset(finished.easy);
    idle_handles.push_back(finished.easy);
    curl_slist_free_all(finished.headers);
    auto done = std::move(finished.done);
    active.erase(finished.number);
    done(std::move(outcome));
}

namespace {

// Returns whether a byte of the transfer's request may have been sent. libcurl counts request bytes per
// transfer, and its retry on a new connection after a reused one broke starts at 0 again. The result is
// therefore exact for calls with `at_most_once`; for other calls it covers only the last connection.
bool may_have_sent(CURL* easy) {
    long request_size = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
    return request_size > 0;
}

}  // namespace

void http_client::state::finish_cancelled_call(std::uint64_t number) {
    const auto found = active.find(number);
    if (found == active.end()) {
        return;
    }
    const bool sent = may_have_sent(found->second->easy);
    finish(*found->second, {.response = fail(error_kind::cancelled, "the call was cancelled"),
                            .request_may_have_been_sent = sent});
}

void http_client::state::finish_completed_calls() {
    int messages_left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi, &messages_left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        active_call* finished = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
        const bool sent = may_have_sent(finished->easy);
        if (code != CURLE_OK) {
            const std::string text = finished->call.url + ": " + curl_easy_strerror(code);
            finish(*finished,
                   {.response = fail(error_kind_for(code), text), .request_may_have_been_sent = sent});
            continue;
        }
        long status = 0;
        curl_easy_getinfo(finished->easy, CURLINFO_RESPONSE_CODE, &status);
        finished->response.status = static_cast<int>(status);
        auto response = std::move(finished->response);
        finish(*finished, {.response = std::move(response), .request_may_have_been_sent = true});
    }
}

void http_client::state::cancel_all_calls() {
    start_and_cancel_calls();
    while (!active.empty()) {
        finish(*active.begin()->second,
               {.response = fail(error_kind::cancelled, "the HTTP client was destroyed"),
                .request_may_have_been_sent = true});
    }
}

void http_client::state::run() {
    while (!stopping) {
        start_and_cancel_calls();
        int running = 0;
        curl_multi_perform(multi, &running);
        finish_completed_calls();
        curl_multi_poll(multi, nullptr, 0, poll_timeout_ms, nullptr);
    }
    cancel_all_calls();
}

http_client::http_client(const http_client_options& options) : state_(std::make_unique<state>()) {
    if (!options.local_address.empty()) {
        state_->interface = "host!" + options.local_address;
    }
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialised);
    state_->multi = curl_multi_init();
    curl_multi_setopt(state_->multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
    state_->thread = std::thread{[this] { state_->run(); }};
}

http_client::~http_client() {
    state_->stopping = true;
    curl_multi_wakeup(state_->multi);
    state_->thread.join();
    for (CURL* handle : state_->idle_handles) {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(state_->multi);
}

std::uint64_t http_client::start(http_call call, std::function<void(http_outcome)> done) {
    const std::uint64_t number = state_->next_number++;
    {
        const std::lock_guard lock{state_->mutex};
        state_->pending.push_back({.number = number, .call = std::move(call), .done = std::move(done)});
    }
    curl_multi_wakeup(state_->multi);
    return number;
}

void http_client::cancel(std::uint64_t call_number) {
    {
        const std::lock_guard lock{state_->mutex};
        state_->cancelled.push_back(call_number);
    }
    curl_multi_wakeup(state_->multi);
}

http_outcome http_client::run(http_call call) {
    auto promise = std::make_shared<std::promise<http_outcome>>();
    auto future = promise->get_future();
    start(std::move(call), [promise](http_outcome outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

}  // namespace guavaramp
