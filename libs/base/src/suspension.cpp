#include <guavaramp/base/suspension.hpp>

#include <ctime>

namespace guavaramp {
namespace {

std::chrono::nanoseconds read_clock(clockid_t clock) noexcept {
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

}  // namespace

std::chrono::milliseconds suspended_time() noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(read_clock(CLOCK_BOOTTIME) -
                                                                 read_clock(CLOCK_MONOTONIC));
}

}  // namespace guavaramp
