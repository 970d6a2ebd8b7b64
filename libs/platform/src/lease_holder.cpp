#include <guavaramp/platform/lease_holder.hpp>

namespace guavaramp {
namespace {

// A call never takes longer than a quarter of the lease, so that a renewal at half-time can be repeated once.
constexpr int call_share = 4;

}  // namespace

lease_holder::lease_holder(lease_store& store, std::string key, std::string owner,
                           std::chrono::milliseconds duration, clock now)
    : store_(store),
      key_(std::move(key)),
      owner_(std::move(owner)),
      duration_(duration),
      now_(std::move(now)) {}

bool lease_holder::is_held() const { return lease_ != 0 && now_() < held_until_; }

mono_time lease_holder::call_deadline() const { return now_() + duration_ / call_share; }

bool lease_holder::acquire() {
    const auto asked_at = now_();
    const auto granted = store_.grant_lease(duration_, call_deadline());
    if (!granted) {
        return false;
    }
    // A lost answer may mean that the key is written under this lease; it ends with the lease, unused.
    const auto marked = store_.put_with_lease(key_, owner_, 0, *granted, call_deadline());
    if (!marked) {
        return false;
    }
    lease_ = *granted;
    held_until_ = asked_at + duration_;
    return is_held();
}

bool lease_holder::acquire_or_renew() {
    if (!is_held()) {
        lease_ = 0;
        return acquire();
    }
    if (held_until_ - now_() > duration_ / 2) {
        return true;
    }
    const auto asked_at = now_();
    const auto renewed = store_.renew_lease(lease_, call_deadline());
    if (renewed) {
        held_until_ = asked_at + duration_;
    } else if (renewed.error().kind == error_kind::refused) {
        lease_ = 0;
    }
    return is_held();
}

result<void> lease_holder::remove(const std::string& key, std::uint64_t if_revision) {
    if (!is_held()) {
        return fail(error_kind::refused, "the lease on " + key_ + " is not held");
    }
    return store_.remove_with_lease(key, if_revision, lease_, call_deadline());
}

}  // namespace guavaramp
