/**
 * @file leaf_health.cpp
 * Speed and signs of life of a leaf.
 */
#include "serving/leaf_health_base.h"

#include "model/time_func.h"

#include <algorithm>

namespace monsooncroft::serving {

namespace {

constexpr std::chrono::milliseconds kMostExcess{ 1'000 }; ///< Of one answer.
/** What a refusal or failure is taken for: about what trying again elsewhere
 * costs the caller. */
constexpr std::chrono::milliseconds kUselessCost{ 100 };
constexpr double kUselessWeight = 1.0 / 3; ///< Of an answer in the mean.
/** Without answers it is half forgotten after this: shorter than faults last,
 * so that a leaf that has recovered gets work again. */
constexpr std::chrono::milliseconds kUselessHalfForgotten{ 1'000 };
constexpr int kSampleDivisor = 4; ///< An answer's weight in the mean.
/** Weight of a peer's answer that was faster than what is known. */
constexpr int kContradictionDivisor = 2;
/** An observed excess is half forgotten after such a time without answers,
 * so that a leaf that has recovered is tried again. */
constexpr std::chrono::milliseconds kHalfForgotten{ 500 };
/** A cold leaf takes so many times as long; its registration tells how long. */
constexpr double kColdFactor = 1.6;
/** An answer is overdue after so many times the expected latency. */
constexpr int kOverdueFactor = 4;
constexpr std::chrono::milliseconds kLeastOverdue{ 25 }; ///< Above scheduling
                                                         ///< delays.
constexpr model::duration kLeastRoundTrip{ 100 }; ///< Within a data centre.
/** Longer than a leaf's usual pauses: it does not answer at all. */
constexpr std::chrono::milliseconds kLongOverdue{ 500 };
/** An attempt that ends after such a time without any answer of the leaf in it
 * shows that the leaf, or the way to it, is gone: longer than its pauses. */
constexpr std::chrono::milliseconds kLongSilence{ 300 };
/** Longer than between two tries of a leaf to which a connection is kept open,
 * each of which renews it; others are tried again then, by a request. */
constexpr std::chrono::milliseconds kFailedFor{ 2'000 };
/** Pauses between tries of a leaf that refuses, doubled each time. */
constexpr std::chrono::milliseconds kFirstRefusal{ 150 };
constexpr std::chrono::milliseconds kLongestRefusal{ 1'000 };
/** A leaf of another data centre has to be faster by this part of the work:
 * bytes between data centres are paid for. */
constexpr int kElsewhereDivisor = 3;
/** What a suspect leaf is taken to need besides: used only if all are. */
constexpr std::chrono::milliseconds kSuspectPenalty{ 300 };

} // namespace

void
leaf_health::OnAttemptSent(model::instant aNow, model::duration aUsualWork)
{
  mOutstanding.push_back({ aNow, aUsualWork });
}

void
leaf_health::RemoveOutstanding(model::instant aQueued)
{
  const auto found = std::find_if(
    mOutstanding.begin(),
    mOutstanding.end(),
    [&](const outstanding_attempt& aSent) { return aSent.mSentAt == aQueued; });
  if (found != mOutstanding.end()) {
    mOutstanding.erase(found);
  }
}

void
leaf_health::RecordExcessSample(model::duration aSample,
                                int aDivisor,
                                model::instant aNow)
{
  // The lower of two in a row: one answer that met a pause tells no speed.
  const model::duration sample = std::min(aSample, mLastExcessSample);
  mLastExcessSample = aSample;
  const model::duration known = ExcessLatency(aNow);
  mExcessLatency =
    known + (std::min<model::duration>(sample, kMostExcess) - known) / aDivisor;
  mExcessLatencyAt = aNow;
}

void
leaf_health::OnPeerLatency(model::duration aExcess, model::instant aNow)
{
  // Peers tell of slow answers, and of a fast one only if it contradicts them.
  const bool contradicts = aExcess < ExcessLatency(aNow);
  RecordExcessSample(
    aExcess, contradicts ? kContradictionDivisor : kSampleDivisor, aNow);
}

std::optional<model::duration>
leaf_health::OnAttemptDropped(model::instant aQueued,
                              std::optional<model::duration> aAtLeast,
                              model::duration aUsualWork,
                              model::instant aNow)
{
  RemoveOutstanding(aQueued);
  const bool silent = !mLastResponse || *mLastResponse < aQueued;
  if (aAtLeast && *aAtLeast > kLongSilence && silent) {
    mConnected = false;
    mFailedUntil = aNow + kFailedFor;
  }
  if (!aAtLeast || *aAtLeast - aUsualWork <= ExcessLatency(aNow)) {
    return std::nullopt;
  }
  RecordExcessSample(*aAtLeast - aUsualWork, kSampleDivisor, aNow);
  return *aAtLeast - aUsualWork;
}

model::duration
leaf_health::OnAnswer(model::instant aQueued,
                      model::duration aWork,
                      model::duration aUsualWork,
                      model::instant aNow)
{
  OnResponse(aQueued, aNow);
  mErrorRate = ErrorRate(aNow) * (1 - kUselessWeight);
  mErrorRateAt = aNow;
  // The first connections may have waited for slots; an answer's time bounds
  // what the way alone can take. Not below the usual work: times of arrival
  // are estimates, and the least of many is too low.
  const auto whole = aWork + mRoundTrip;
  mRoundTrip =
    std::min(mRoundTrip, std::max({ whole, aUsualWork, kLeastRoundTrip }));
  const auto excess = whole - mRoundTrip - aUsualWork;
  RecordExcessSample(excess, kSampleDivisor, aNow);
  return excess;
}

void
leaf_health::OnResponse(model::instant aQueued, model::instant aNow)
{
  RemoveOutstanding(aQueued);
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
leaf_health::OnError(model::instant aQueued, model::instant aNow)
{
  OnResponse(aQueued, aNow);
  RecordError(aNow);
}

void
leaf_health::RecordError(model::instant aNow)
{
  const double known = ErrorRate(aNow);
  mErrorRate = known + (1 - known) * kUselessWeight;
  mErrorRateAt = aNow;
}

double
leaf_health::ErrorRate(model::instant aNow) const
{
  return mErrorRate *
         model::DecayFactor(aNow - mErrorRateAt, kUselessHalfForgotten);
}

model::duration
leaf_health::ExpectedErrorCost(model::instant aNow) const
{
  return model::ScaleDuration(kUselessCost, ErrorRate(aNow));
}

void
leaf_health::OnConnectionRefused(model::instant aNow)
{
  const auto pause = std::min<model::duration>(
    kFirstRefusal * (1 << std::min(mConsecutiveRefusals, 4)), kLongestRefusal);
  ++mConsecutiveRefusals;
  mConnected = false;
  mFailedUntil = aNow + kFailedFor;
  mConnectBackoffUntil = aNow + pause;
}

void
leaf_health::OnConnected(model::duration aRoundTrip, model::instant aNow)
{
  OnContact(aNow);
  // A connection that waited for a free slot tells no way; the shortest does.
  const auto known = mRoundTrip.count() == 0 ? aRoundTrip : mRoundTrip;
  mRoundTrip = std::max(std::min(known, aRoundTrip), kLeastRoundTrip);
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
    model::DecayFactor(aNow - mExcessLatencyAt, kHalfForgotten));
}

bool
leaf_health::IsSuspect(model::duration aUsualWork, model::instant aNow) const
{
  return mDataCentreUnreachable || aNow < mPeerSuspectUntil ||
         IsUnresponsive(aUsualWork, aNow);
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
leaf_health::IsUnresponsive(model::duration aUsualWork,
                            model::instant aNow) const
{
  return InConnectBackoff(aNow) || IsFailed(aNow) ||
         OverdueSince(aUsualWork, aNow);
}

std::optional<model::instant>
leaf_health::OverdueSince(model::duration aUsualWork, model::instant aNow) const
{
  if (mOutstanding.empty()) {
    return std::nullopt;
  }
  const auto& [oldest, usual] = mOutstanding.front();
  if (mLastResponse && *mLastResponse > oldest) {
    return std::nullopt;
  }
  const auto expected =
    mRoundTrip + std::max(aUsualWork, usual) +
    std::max<model::duration>(ExcessLatency(aNow), model::duration(0));
  const bool overdue =
    aNow - oldest >
    std::max<model::duration>(kOverdueFactor * expected, kLeastOverdue);
  return overdue ? std::optional(oldest) : std::nullopt;
}

model::duration
leaf_health::ExpectedLatency(model::duration aUsualWork,
                             model::instant aNow) const
{
  const double factor = (aNow < mColdUntil ? kColdFactor : 1) +
                        static_cast<double>(mOutstanding.size());
  const auto work = model::ScaleDuration(aUsualWork, factor);
  // A fast leaf's answers take less than the usual, but never no time.
  auto expected = mRoundTrip + std::max(work + ExcessLatency(aNow), work / 3);
  if (mInOtherDataCentre) {
    expected += aUsualWork / kElsewhereDivisor;
  }
  if (IsSuspect(aUsualWork, aNow)) {
    expected += kSuspectPenalty;
  }
  return expected;
}

std::optional<std::size_t>
ChooseReplica(const std::vector<const leaf_health*>& aCandidates,
              model::duration aUsualWork,
              std::size_t aTie,
              model::instant aNow)
{
  std::optional<std::size_t> best;
  model::duration least{ 0 };
  for (std::size_t step = 0; step < aCandidates.size(); ++step) {
    const std::size_t place = (aTie + step) % aCandidates.size();
    const leaf_health* candidate = aCandidates[place];
    if (candidate == nullptr) {
      continue;
    }
    const auto expected = candidate->ExpectedLatency(aUsualWork, aNow) +
                          candidate->ExpectedErrorCost(aNow);
    if (!best || expected < least) {
      best = place;
      least = expected;
    }
  }
  return best;
}

} // namespace monsooncroft::serving
