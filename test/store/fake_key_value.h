/**
 * @file fake_key_value.h
 * The fake store behind the interface, with faults drawn from a seed.
 */
#ifndef MONSOONCROFT_TEST_STORE_FAKE_KEY_VALUE_H
#define MONSOONCROFT_TEST_STORE_FAKE_KEY_VALUE_H

#include "store/key_value_service_base.h"
#include "test/store/fake_store.h"

#include <mutex>
#include <random>

namespace monsooncroft::store {

/** A key-value service in memory. Thread safe. */
class fake_key_value final : public key_value_service
{
public:
  explicit fake_key_value(std::uint64_t aSeed = 1)
    : mRandom(aSeed)
  {
  }

  /** Share of calls that go wrong, each in one of the known ways. */
  void SetFaults(double aShare)
  {
    const std::lock_guard lock(mMutex);
    mShare = aShare;
  }

  /** Everything is refused while the service is down. */
  void SetDown(bool aDown)
  {
    const std::lock_guard lock(mMutex);
    mDown = aDown;
  }

  read_outcome Get(const std::string& aKey) override
  {
    const std::lock_guard lock(mMutex);
    return mStore.Get(aKey, Draw());
  }

  write_outcome CompareAndSwap(const std::string& aKey,
                               revision aExpect,
                               const std::string& aValue,
                               const lease_id&) override
  {
    const std::lock_guard lock(mMutex);
    return mStore.Swap(aKey, aExpect, aValue, Draw());
  }

  write_outcome Delete(const std::string& aKey, revision aExpect) override
  {
    const std::lock_guard lock(mMutex);
    return mStore.Delete(aKey, aExpect, Draw());
  }

  read_outcome Watch(const std::string& aKey,
                     revision,
                     std::chrono::milliseconds) override
  {
    return Get(aKey);
  }

  lease_outcome GrantLease(std::chrono::milliseconds) override
  {
    const std::lock_guard lock(mMutex);
    return { store_status::Ok, "lease-" + std::to_string(++mLeases) };
  }
  write_outcome KeepAlive(const lease_id&) override
  {
    return { store_status::Ok, 0 };
  }
  write_outcome Revoke(const lease_id&) override
  {
    return { store_status::Ok, 0 };
  }

  /** The state; not while calls are under way. */
  fake_store& Store() { return mStore; }

private:
  store_fault Draw()
  {
    if (mDown) {
      return store_fault::Unavailable;
    }
    while (mStore.Delayed() > 0 && mRandom() % 2 == 0) {
      mStore.Land(mRandom() % mStore.Delayed());
    }
    std::uniform_real_distribution<double> share(0, 1);
    if (share(mRandom) >= mShare) {
      return store_fault::None;
    }
    constexpr unsigned kFaults = 5;
    return static_cast<store_fault>(1 + mRandom() % kFaults);
  }

  std::mutex mMutex;       ///< Guards everything below.
  fake_store mStore;       ///< The state.
  std::mt19937_64 mRandom; ///< Draws faults.
  double mShare = 0;       ///< Share of calls that go wrong.
  bool mDown = false;      ///< Everything is refused.
  int mLeases = 0;         ///< Leases granted.
};

} // namespace monsooncroft::store

#endif
