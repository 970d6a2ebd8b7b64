#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace guavaramp {

/// Runs blocking work on threads of its own, so that the HTTP server's threads never wait. Tasks that have
/// not begun when the pool is destroyed are dropped. Thread-safe.
class task_pool {
public:
    task_pool(std::size_t threads, std::size_t max_waiting);
    ~task_pool();
    task_pool(const task_pool&) = delete;
    task_pool& operator=(const task_pool&) = delete;

    /// Queues a task, or returns false when `max_waiting` tasks wait already.
    [[nodiscard]] bool start(std::function<void()> task);

private:
    void run();

    std::size_t max_waiting_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> waiting_;
    bool stopping_{false};
    std::vector<std::thread> threads_;
};

}  // namespace guavaramp
