#include "task_pool.hpp"

#include <utility>

namespace guavaramp {

task_pool::task_pool(std::size_t threads, std::size_t max_waiting) : max_waiting_(max_waiting) {
    for (std::size_t index = 0; index < threads; ++index) {
        threads_.emplace_back([this] { run(); });
    }
}

task_pool::~task_pool() {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
        waiting_.clear();
    }
    changed_.notify_all();
    for (auto& thread : threads_) {
        thread.join();
    }
}

bool task_pool::start(std::function<void()> task) {
    {
        const std::lock_guard lock{mutex_};
        if (stopping_ || waiting_.size() >= max_waiting_) {
            return false;
        }
        waiting_.push_back(std::move(task));
    }
    changed_.notify_one();
    return true;
}

void task_pool::run() {
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock{mutex_};
            changed_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
            if (stopping_) {
                return;
            }
            task = std::move(waiting_.front());
            waiting_.pop_front();
        }
        task();
    }
}

}  // namespace guavaramp
