#pragma once

#include <guavaramp/base/spsc_ring.hpp>
#include <guavaramp/config/spread.hpp>
#include <guavaramp/platform/key_value_store.hpp>
#include <guavaramp/platform/lease_holder.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace guavaramp {

/// What the platform threads give back.
struct vm_list_loaded {
    result<std::vector<listed_vm>> vms;
};
struct cleanup_finished {
    std::size_t removed{0};
};
using platform_answer = std::variant<vm_list_loaded, load_finished, watch_finished, cleanup_finished>;

/// Makes blocking platform calls for the control thread: one thread waits in watches, another one loads and
/// deletes old service values.
/// The control thread is the only user of the public methods.
class platform_duty {
public:
    /// `store`, `leases` and `stopped` must outlive the object. The threads end when `stopped` is set and the
    /// store refuses calls. `owner` names this daemon in the lease's key.
    platform_duty(key_value_store& store, lease_store& leases, std::string owner,
                  const std::atomic<bool>& stopped);
    platform_duty(const platform_duty&) = delete;
    platform_duty& operator=(const platform_duty&) = delete;
    ~platform_duty();

    /// Start a call; at most one of each kind may be in progress.
    void watch(std::uint64_t after);
    void load_configuration(std::shared_ptr<const config_snapshot> known);
    void load_vms();
    void clean_up();

    /// Takes the next answer, or returns false.
    [[nodiscard]] bool pop(platform_answer& out);

private:
    struct watch_job {
        std::uint64_t after{0};
    };
    enum class load_kind : std::uint8_t { configuration, vms, cleanup };
    struct load_job {
        load_kind kind{load_kind::configuration};
        std::shared_ptr<const config_snapshot> known;
    };

    void run_watches();
    void run_loads();
    [[nodiscard]] platform_answer answer(const load_job& job);
    [[nodiscard]] load_finished load(const configuration& known);

    key_value_store& store_;
    lease_holder cleanup_lease_;  ///< used by the loading thread
    const std::atomic<bool>& stopped_;
    spsc_ring<watch_job> watch_jobs_;
    spsc_ring<load_job> load_jobs_;
    spsc_ring<platform_answer> watch_answers_;
    spsc_ring<platform_answer> load_answers_;
    std::thread watch_thread_;
    std::thread load_thread_;
};

}  // namespace guavaramp
