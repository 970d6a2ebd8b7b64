#pragma once

#include <guavaramp/base/ring.hpp>
#include <guavaramp/config/spread.hpp>
#include <guavaramp/platform/key_value_store.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace guavaramp {

/// What the platform threads give back.
struct vm_list_loaded {
    result<std::vector<listed_vm>> vms;
};
using platform_answer = std::variant<vm_list_loaded, load_finished, watch_finished>;

/// Makes blocking platform calls for the control thread: one thread waits in watches, another one loads.
/// The control thread is the only user of the public methods.
class platform_duty {
public:
    /// `store` and `stopped` must outlive the object. The threads end when `stopped` is set and the store
    /// refuses calls.
    platform_duty(key_value_store& store, const std::atomic<bool>& stopped);
    platform_duty(const platform_duty&) = delete;
    platform_duty& operator=(const platform_duty&) = delete;
    ~platform_duty();

    /// Start a call; at most one of each kind may be in progress.
    void watch(std::uint64_t after);
    void load_configuration(std::shared_ptr<const config_snapshot> known);
    void load_vms();

    /// Takes the next answer, or returns false.
    [[nodiscard]] bool pop(platform_answer& out);

private:
    struct watch_job {
        std::uint64_t after{0};
    };
    struct load_job {
        bool vms{false};
        std::shared_ptr<const config_snapshot> known;
    };

    void run_watches();
    void run_loads();
    [[nodiscard]] load_finished load(const configuration& known);

    key_value_store& store_;
    const std::atomic<bool>& stopped_;
    ring<watch_job> watch_jobs_;
    ring<load_job> load_jobs_;
    ring<platform_answer> watch_answers_;
    ring<platform_answer> load_answers_;
    std::thread watch_thread_;
    std::thread load_thread_;
};

}  // namespace guavaramp
