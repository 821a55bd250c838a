/**
 * @file unknown_key_policy.cpp
 * Whether a request with an unknown API key waits for a newer configuration.
 */
#include "serving/unknown_key_policy_base.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

/** Longest wait for a newer configuration, which reaches all instances within
 * less. */
constexpr std::chrono::milliseconds kMaxWait{ 250 };
/** A request waits for at most this fraction of the caller's time. */
constexpr int kMaxWaitDivisor = 3;
/** Requests that may wait at a time: with the largest bodies they hold 16 MiB.
 * An instance gets a few requests with new keys in that time. */
constexpr std::size_t kMaxWaiting = 64;
/** Shortest time between two reads of the store. */
constexpr std::chrono::seconds kReadPeriod{ 2 };
/** The same for keys that the newest configuration did not contain before: with
 * each instance reading every two seconds for callers that go on sending a
 * withdrawn key, these would be most calls to the store. */
constexpr std::chrono::seconds kRepeatedReadPeriod{ 10 };
/** Time for which a key is refused without a wait after the newest
 * configuration did not contain it; below the time in which a configuration
 * must be applied. */
constexpr std::chrono::seconds kRefusedFor{ 2 };
/** Refused keys that are remembered. */
constexpr std::size_t kMaxRemembered = 1'024;

} // namespace

unknown_key_policy::decision
unknown_key_policy::Decide(const workspace_keys::digest& aKey,
                           model::duration aRemaining,
                           std::size_t aWaiting,
                           model::instant aNow) const
{
  const auto refused = mRefused.find(aKey);
  const bool isRepeated = refused != mRefused.end();
  if (aWaiting >= kMaxWaiting ||
      (isRepeated && aNow - refused->second < kRefusedFor)) {
    return { aNow, false };
  }
  const auto wait = std::clamp<model::duration>(
    aRemaining / kMaxWaitDivisor, model::duration(0), kMaxWait);
  const model::duration period = isRepeated ? kRepeatedReadPeriod : kReadPeriod;
  return { aNow + wait, !mReadAt || aNow - *mReadAt >= period };
}

void
unknown_key_policy::OnRefused(const workspace_keys::digest& aKey,
                              model::instant aNow)
{
  if (!mConfirmedAt || aNow - *mConfirmedAt >= kRefusedFor) {
    return;
  }
  if (mRefused.size() >= kMaxRemembered) {
    mRefused.clear();
  }
  mRefused.insert_or_assign(aKey, *mConfirmedAt);
}

} // namespace monsooncroft::serving
