/**
 * @file leaf_health.cpp
 * Latency and failure statistics of one leaf, and the choice of a replica.
 */
#include "serving/leaf_health_base.h"

#include "model/time_func.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

constexpr std::chrono::milliseconds kMaxExcess{ 1'000 }; ///< Per answer.
/** Latency charged for an error answer: about what a retry at another leaf
 * costs the caller. */
constexpr std::chrono::milliseconds kErrorCost{ 100 };
constexpr double kErrorWeight = 1.0 / 3; ///< Weight of an answer in the mean.
/** Half-life of the error rate without answers: shorter than faults last, so
 * that a leaf that has recovered gets requests again. */
constexpr std::chrono::milliseconds kErrorHalfLife{ 1'000 };
constexpr int kSampleDivisor = 4; ///< Inverse weight of an answer in the mean.
/** Inverse weight of a peer's answer that was faster than the known mean. */
constexpr int kContradictionDivisor = 2;
/** Half-life of the excess latency without answers, so that a leaf that has
 * recovered is tried again. */
constexpr std::chrono::milliseconds kExcessHalfLife{ 500 };
/** Service time of a cold leaf relative to a warm one; the registration states
 * how long the leaf is cold. */
constexpr double kColdFactor = 1.6;
/** An answer is overdue after this multiple of the expected latency. */
constexpr int kOverdueFactor = 4;
/** Lower bound of the overdue time; longer than scheduling delays. */
constexpr std::chrono::milliseconds kMinOverdue{ 25 };
constexpr model::duration kMinRoundTrip{ 100 }; ///< Within a data centre.
/** An answer is long overdue after this time. Longer than a leaf's usual
 * pauses: the leaf does not respond at all. */
constexpr std::chrono::milliseconds kLongOverdue{ 500 };
/** An attempt that ends after this time without any response of the leaf shows
 * that the leaf or the network path to it has failed; longer than a leaf's
 * pauses. */
constexpr std::chrono::milliseconds kLongSilence{ 300 };
/** How long a leaf counts as failed. Longer than the time between two
 * connection attempts to a leaf to which a connection is kept open, each of
 * which renews the state; any other leaf is then tried again by a request. */
constexpr std::chrono::milliseconds kFailedPeriod{ 2'000 };
/** Backoff between connection attempts to a leaf that refuses them, doubled
 * each time. */
constexpr std::chrono::milliseconds kMinConnectBackoff{ 150 };
constexpr std::chrono::milliseconds kMaxConnectBackoff{ 1'000 };
/** A leaf of another data centre must be faster by this part of the mean
 * service time: traffic between data centres is paid for. */
constexpr int kOtherDataCentreDivisor = 3;
/** Added to the expected latency of a suspect leaf, so that one is chosen only
 * if all candidates are suspect. */
constexpr std::chrono::milliseconds kSuspectPenalty{ 300 };

} // namespace

void
leaf_health::OnAttemptSent(model::instant aNow,
                           model::duration aMeanServiceTime)
{
  mOutstanding.push_back({ aNow, aMeanServiceTime });
}

void
leaf_health::RemoveOutstanding(model::instant aQueuedAt)
{
  const auto found = std::find_if(mOutstanding.begin(),
                                  mOutstanding.end(),
                                  [&](const outstanding_attempt& aAttempt) {
                                    return aAttempt.mSentAt == aQueuedAt;
                                  });
  if (found != mOutstanding.end()) {
    mOutstanding.erase(found);
  }
}

void
leaf_health::RecordExcessSample(model::duration aExcess,
                                int aDivisor,
                                model::instant aNow)
{
  // The lower of two successive samples: a single answer that was delayed by a
  // pause of the leaf does not show its speed.
  const model::duration sample = std::min(aExcess, mLastExcessSample);
  mLastExcessSample = aExcess;
  const model::duration known = ExcessLatency(aNow);
  mExcessLatency =
    known + (std::min<model::duration>(sample, kMaxExcess) - known) / aDivisor;
  mExcessLatencyAt = aNow;
}

void
leaf_health::OnPeerLatency(model::duration aExcess, model::instant aNow)
{
  // Peers report slow answers, and a fast answer only if it contradicts the
  // slow ones reported before.
  const bool contradicts = aExcess < ExcessLatency(aNow);
  RecordExcessSample(
    aExcess, contradicts ? kContradictionDivisor : kSampleDivisor, aNow);
}

std::optional<model::duration>
leaf_health::OnAttemptDropped(model::instant aQueuedAt,
                              std::optional<model::duration> aMinServiceTime,
                              model::duration aMeanServiceTime,
                              model::instant aNow)
{
  RemoveOutstanding(aQueuedAt);
  const bool silent = !mLastResponse || *mLastResponse < aQueuedAt;
  if (aMinServiceTime && *aMinServiceTime > kLongSilence && silent) {
    mConnected = false;
    mFailedUntil = aNow + kFailedPeriod;
  }
  if (!aMinServiceTime ||
      *aMinServiceTime - aMeanServiceTime <= ExcessLatency(aNow)) {
    return std::nullopt;
  }
  RecordExcessSample(*aMinServiceTime - aMeanServiceTime, kSampleDivisor, aNow);
  return *aMinServiceTime - aMeanServiceTime;
}

model::duration
leaf_health::OnAnswer(model::instant aQueuedAt,
                      model::duration aServiceTime,
                      model::duration aMeanServiceTime,
                      model::instant aNow)
{
  OnResponse(aQueuedAt, aNow);
  mErrorRate = ErrorRate(aNow) * (1 - kErrorWeight);
  mErrorRateAt = aNow;
  // The round trip of the first connections may include a wait for a slot; the
  // total time of an answer is an upper bound of it. The bound is not set below
  // the mean service time: arrival times are estimates, and the minimum of many
  // is too low.
  const auto total = aServiceTime + mRoundTrip;
  mRoundTrip =
    std::min(mRoundTrip, std::max({ total, aMeanServiceTime, kMinRoundTrip }));
  const auto excess = total - mRoundTrip - aMeanServiceTime;
  RecordExcessSample(excess, kSampleDivisor, aNow);
  return excess;
}

void
leaf_health::OnResponse(model::instant aQueuedAt, model::instant aNow)
{
  RemoveOutstanding(aQueuedAt);
  mLastResponse = aNow;
  mPeerSuspectUntil = model::instant();
  OnContact(aNow);
}

void
leaf_health::OnContact(model::instant aNow)
{
  mLastContact = std::max(mLastContact, aNow);
  mConnected = true;
  mFailedUntil = model::instant();
  mConsecutiveRefusals = 0;
  mConnectBackoffUntil = model::instant();
}

void
leaf_health::OnError(model::instant aQueuedAt, model::instant aNow)
{
  OnResponse(aQueuedAt, aNow);
  RecordError(aNow);
}

void
leaf_health::RecordError(model::instant aNow)
{
  const double known = ErrorRate(aNow);
  mErrorRate = known + (1 - known) * kErrorWeight;
  mErrorRateAt = aNow;
}

double
leaf_health::ErrorRate(model::instant aNow) const
{
  return mErrorRate * model::DecayFactor(aNow - mErrorRateAt, kErrorHalfLife);
}

model::duration
leaf_health::ExpectedErrorCost(model::instant aNow) const
{
  return model::ScaleDuration(kErrorCost, ErrorRate(aNow));
}

void
leaf_health::OnConnectionRefused(model::instant aNow)
{
  const auto backoff = std::min<model::duration>(
    kMinConnectBackoff * (1 << std::min(mConsecutiveRefusals, 4)),
    kMaxConnectBackoff);
  ++mConsecutiveRefusals;
  mConnected = false;
  mFailedUntil = aNow + kFailedPeriod;
  mConnectBackoffUntil = aNow + backoff;
}

void
leaf_health::OnConnected(model::duration aRoundTrip, model::instant aNow)
{
  OnContact(aNow);
  // A connection that waited for a free slot measures more than the round trip,
  // so the shortest one counts.
  const auto known = mRoundTrip.count() == 0 ? aRoundTrip : mRoundTrip;
  mRoundTrip = std::max(std::min(known, aRoundTrip), kMinRoundTrip);
}

void
leaf_health::OnPeerSuspicion(model::instant aUntil)
{
  mPeerSuspectUntil = std::max(mPeerSuspectUntil, aUntil);
}

model::duration
leaf_health::ExcessLatency(model::instant aNow) const
{
  return model::ScaleDuration(
    mExcessLatency,
    model::DecayFactor(aNow - mExcessLatencyAt, kExcessHalfLife));
}

bool
leaf_health::IsSuspect(model::duration aMeanServiceTime,
                       model::instant aNow) const
{
  return mDataCentreUnreachable || aNow < mPeerSuspectUntil ||
         IsUnresponsive(aMeanServiceTime, aNow);
}

bool
leaf_health::IsKnownReachable(model::instant aNow) const
{
  return mConnected && !mDataCentreUnreachable &&
         !IsUnresponsive(kLongOverdue / kOverdueFactor, aNow);
}

bool
leaf_health::IsKnownUnreachable(model::instant aNow) const
{
  return IsFailed(aNow) || mDataCentreUnreachable ||
         (mConnected && IsUnresponsive(kLongOverdue / kOverdueFactor, aNow));
}

bool
leaf_health::IsUnresponsive(model::duration aMeanServiceTime,
                            model::instant aNow) const
{
  return InConnectBackoff(aNow) || IsFailed(aNow) ||
         OverdueSince(aMeanServiceTime, aNow);
}

std::optional<model::instant>
leaf_health::OverdueSince(model::duration aMeanServiceTime,
                          model::instant aNow) const
{
  if (mOutstanding.empty()) {
    return std::nullopt;
  }
  const auto& [oldestSentAt, attemptMean] = mOutstanding.front();
  if (mLastResponse && *mLastResponse > oldestSentAt) {
    return std::nullopt;
  }
  const auto expected =
    mRoundTrip + std::max(aMeanServiceTime, attemptMean) +
    std::max<model::duration>(ExcessLatency(aNow), model::duration(0));
  const bool overdue =
    aNow - oldestSentAt >
    std::max<model::duration>(kOverdueFactor * expected, kMinOverdue);
  return overdue ? std::optional(oldestSentAt) : std::nullopt;
}

model::duration
leaf_health::ExpectedLatency(model::duration aMeanServiceTime,
                             model::instant aNow) const
{
  const double factor = (aNow < mColdUntil ? kColdFactor : 1) +
                        static_cast<double>(mOutstanding.size());
  const auto work = model::ScaleDuration(aMeanServiceTime, factor);
  // The excess of a fast leaf is negative, but its answers still take time.
  auto expected = mRoundTrip + std::max(work + ExcessLatency(aNow), work / 3);
  if (mInOtherDataCentre) {
    expected += aMeanServiceTime / kOtherDataCentreDivisor;
  }
  if (IsSuspect(aMeanServiceTime, aNow)) {
    expected += kSuspectPenalty;
  }
  return expected;
}

std::optional<std::size_t>
ChooseReplica(const std::vector<const leaf_health*>& aCandidates,
              model::duration aMeanServiceTime,
              std::size_t aTieBreak,
              model::instant aNow)
{
  std::optional<std::size_t> best;
  model::duration lowest{ 0 };
  for (std::size_t step = 0; step < aCandidates.size(); ++step) {
    const std::size_t index = (aTieBreak + step) % aCandidates.size();
    const leaf_health* candidate = aCandidates[index];
    if (candidate == nullptr) {
      continue;
    }
    const auto expected = candidate->ExpectedLatency(aMeanServiceTime, aNow) +
                          candidate->ExpectedErrorCost(aNow);
    if (!best || expected < lowest) {
      best = index;
      lowest = expected;
    }
  }
  return best;
}

} // namespace monsooncroft::serving
