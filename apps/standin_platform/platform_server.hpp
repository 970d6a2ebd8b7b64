#pragma once

#include <guavaramp/net/http.hpp>
#include <guavaramp/net/http_router.hpp>
#include <guavaramp/standin_platform/memory_store.hpp>

#include <nlohmann/json_fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace guavaramp {

/// Faults that the stand-in injects until they are set again.
struct platform_faults {
    bool outage{false};                        ///< every platform call is answered 503 without effect
    std::chrono::milliseconds delay{0};        ///< mean delay of an answer; each one is 0.5 to 1.5 times it
    std::uint64_t lose_next_answers{0};        ///< the next writes take effect but get no answer
    std::chrono::milliseconds vm_list_lag{0};  ///< age of the VM list that is answered
    std::set<std::string> blocked_clients;     ///< calls from these addresses get no answer and no effect
};

/// The platform API of docs/design.md section 4 over a `memory_store`. Handlers run on the server's threads
/// under one lock; a timer thread ends watches and sends delayed answers. Thread-safe.
class platform_server {
public:
    explicit platform_server(std::uint64_t seed);
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    ~platform_server();

    /// Stores a configuration in JSON form as head and service values. Errors: `malformed`.
    [[nodiscard]] result<void> load_configuration(const nlohmann::json& json);

    /// Sets the VM list from a JSON list. Errors: `malformed`.
    [[nodiscard]] result<void> load_vms(const nlohmann::json& json);

    void handle(http_request request, const http_responder& respond) {
        router_.handle(std::move(request), respond);
    }

private:
    struct waiting_watch {
        std::string key;
        std::uint64_t after{0};
        mono_time deadline;
        http_responder respond;
    };
    using answer = std::function<http_response(const http_request&)>;

    void add_platform_route(const std::string& method, const std::string& path, const char* kind,
                            answer compute);
    void add_routes();
    void add_lease_routes();
    void add_standin_routes();
    [[nodiscard]] bool withheld(const http_request& request, const http_responder& respond);
    [[nodiscard]] http_response put(const http_request& request);
    [[nodiscard]] http_response remove(const http_request& request);
    [[nodiscard]] http_response conflict(const std::string& key, const error& failure);
    [[nodiscard]] http_response set_faults(const http_request& request);
    [[nodiscard]] http_response calls();
    void watch(const http_request& request, const http_responder& respond);
    void answer_watches();
    void send(const http_responder& respond, http_response response);
    void hold(const http_responder& respond);
    void run_timer();

    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{false};
    memory_store store_;
    platform_faults faults_;
    std::map<std::string, std::uint64_t> calls_;
    std::vector<waiting_watch> watches_;
    std::multimap<mono_time, std::function<void()>> delayed_;
    std::mt19937_64 random_;
    http_router router_;
    std::thread timer_;
};

}  // namespace guavaramp
