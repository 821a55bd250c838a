/**
 * @file leaf_load.cpp
 * Speed and signs of life of a leaf.
 */
#include "serving/leaf_load_base.h"

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
leaf_load::OnSent(model::instant aNow, model::duration aUsualWork)
{
  mOutstanding.push_back({ aNow, aUsualWork });
}

void
leaf_load::Forget(model::instant aQueued)
{
  const auto found =
    std::find_if(mOutstanding.begin(),
                 mOutstanding.end(),
                 [&](const sent& aSent) { return aSent.mAt == aQueued; });
  if (found != mOutstanding.end()) {
    mOutstanding.erase(found);
  }
}

void
leaf_load::Learn(model::duration aSample, int aDivisor, model::instant aNow)
{
  // The lower of two in a row: one answer that met a pause tells no speed.
  const model::duration sample = std::min(aSample, mLastSample);
  mLastSample = aSample;
  const model::duration known = Excess(aNow);
  mExcess =
    known + (std::min<model::duration>(sample, kMostExcess) - known) / aDivisor;
  mExcessAt = aNow;
}

void
leaf_load::OnPeerSample(model::duration aExcess, model::instant aNow)
{
  // Peers tell of slow answers, and of a fast one only if it contradicts them.
  const bool contradicts = aExcess < Excess(aNow);
  Learn(aExcess, contradicts ? kContradictionDivisor : kSampleDivisor, aNow);
}

std::optional<model::duration>
leaf_load::OnDropped(model::instant aQueued,
                     std::optional<model::duration> aAtLeast,
                     model::duration aUsualWork,
                     model::instant aNow)
{
  Forget(aQueued);
  const bool silent = !mLastAnswer || *mLastAnswer < aQueued;
  if (aAtLeast && *aAtLeast > kLongSilence && silent) {
    mConnected = false;
    mFailedUntil = aNow + kFailedFor;
  }
  if (!aAtLeast || *aAtLeast - aUsualWork <= Excess(aNow)) {
    return std::nullopt;
  }
  Learn(*aAtLeast - aUsualWork, kSampleDivisor, aNow);
  return *aAtLeast - aUsualWork;
}

model::duration
leaf_load::OnAnswer(model::instant aQueued,
                    model::duration aWork,
                    model::duration aUsualWork,
                    model::instant aNow)
{
  OnReply(aQueued, aNow);
  mUselessShare = UselessShare(aNow) * (1 - kUselessWeight);
  mUselessAt = aNow;
  // The first connections may have waited for slots; an answer's time bounds
  // what the way alone can take. Not below the usual work: times of arrival
  // are estimates, and the least of many is too low.
  const auto whole = aWork + mRoundTrip;
  mRoundTrip =
    std::min(mRoundTrip, std::max({ whole, aUsualWork, kLeastRoundTrip }));
  const auto excess = whole - mRoundTrip - aUsualWork;
  Learn(excess, kSampleDivisor, aNow);
  return excess;
}

void
leaf_load::OnReply(model::instant aQueued, model::instant aNow)
{
  Forget(aQueued);
  mLastAnswer = aNow;
  mPeerSuspectUntil = model::instant();
  OnSignOfLife(aNow);
}

void
leaf_load::OnSignOfLife(model::instant aNow)
{
  mLastHeard = std::max(mLastHeard, aNow);
  mConnected = true;
  mFailedUntil = model::instant();
  mRefusals = 0;
  mRefusesUntil = model::instant();
}

void
leaf_load::OnUseless(model::instant aQueued, model::instant aNow)
{
  OnReply(aQueued, aNow);
  LearnUseless(aNow);
}

void
leaf_load::LearnUseless(model::instant aNow)
{
  const double known = UselessShare(aNow);
  mUselessShare = known + (1 - known) * kUselessWeight;
  mUselessAt = aNow;
}

double
leaf_load::UselessShare(model::instant aNow) const
{
  return mUselessShare * model::Kept(aNow - mUselessAt, kUselessHalfForgotten);
}

model::duration
leaf_load::CostOfFailures(model::instant aNow) const
{
  return model::Scaled(kUselessCost, UselessShare(aNow));
}

void
leaf_load::OnRefused(model::instant aNow)
{
  const auto pause = std::min<model::duration>(
    kFirstRefusal * (1 << std::min(mRefusals, 4)), kLongestRefusal);
  ++mRefusals;
  mConnected = false;
  mFailedUntil = aNow + kFailedFor;
  mRefusesUntil = aNow + pause;
}

void
leaf_load::OnConnected(model::duration aRoundTrip, model::instant aNow)
{
  OnSignOfLife(aNow);
  // A connection that waited for a free slot tells no way; the shortest does.
  const auto known = mRoundTrip.count() == 0 ? aRoundTrip : mRoundTrip;
  mRoundTrip = std::max(std::min(known, aRoundTrip), kLeastRoundTrip);
}

void
leaf_load::OnPeerSuspicion(model::instant aUntil)
{
  mPeerSuspectUntil = std::max(mPeerSuspectUntil, aUntil);
}

model::duration
leaf_load::Excess(model::instant aNow) const
{
  return model::Scaled(mExcess, model::Kept(aNow - mExcessAt, kHalfForgotten));
}

bool
leaf_load::Suspect(model::duration aUsualWork, model::instant aNow) const
{
  return mWayLost || aNow < mPeerSuspectUntil ||
         SeenStandingStill(aUsualWork, aNow);
}

bool
leaf_load::Answers(model::instant aNow) const
{
  return mConnected && !mWayLost &&
         !SeenStandingStill(kLongOverdue / kOverdueFactor, aNow);
}

bool
leaf_load::Lost(model::instant aNow) const
{
  return Failed(aNow) || mWayLost ||
         (mConnected && SeenStandingStill(kLongOverdue / kOverdueFactor, aNow));
}

bool
leaf_load::SeenStandingStill(model::duration aUsualWork,
                             model::instant aNow) const
{
  return Refuses(aNow) || Failed(aNow) || OverdueSince(aUsualWork, aNow);
}

std::optional<model::instant>
leaf_load::OverdueSince(model::duration aUsualWork, model::instant aNow) const
{
  if (mOutstanding.empty()) {
    return std::nullopt;
  }
  const auto& [oldest, usual] = mOutstanding.front();
  if (mLastAnswer && *mLastAnswer > oldest) {
    return std::nullopt;
  }
  const auto expected =
    mRoundTrip + std::max(aUsualWork, usual) +
    std::max<model::duration>(Excess(aNow), model::duration(0));
  const bool overdue =
    aNow - oldest >
    std::max<model::duration>(kOverdueFactor * expected, kLeastOverdue);
  return overdue ? std::optional(oldest) : std::nullopt;
}

model::duration
leaf_load::ExpectedLatency(model::duration aUsualWork,
                           model::instant aNow) const
{
  const double factor = (aNow < mColdUntil ? kColdFactor : 1) +
                        static_cast<double>(mOutstanding.size());
  const auto work = model::Scaled(aUsualWork, factor);
  // A fast leaf's answers take less than the usual, but never no time.
  auto expected = mRoundTrip + std::max(work + Excess(aNow), work / 3);
  if (mElsewhere) {
    expected += aUsualWork / kElsewhereDivisor;
  }
  if (Suspect(aUsualWork, aNow)) {
    expected += kSuspectPenalty;
  }
  return expected;
}

std::optional<std::size_t>
ChooseReplica(const std::vector<const leaf_load*>& aCandidates,
              model::duration aUsualWork,
              std::size_t aTie,
              model::instant aNow)
{
  std::optional<std::size_t> best;
  model::duration least{ 0 };
  for (std::size_t step = 0; step < aCandidates.size(); ++step) {
    const std::size_t place = (aTie + step) % aCandidates.size();
    const leaf_load* candidate = aCandidates[place];
    if (candidate == nullptr) {
      continue;
    }
    const auto expected = candidate->ExpectedLatency(aUsualWork, aNow) +
                          candidate->CostOfFailures(aNow);
    if (!best || expected < least) {
      best = place;
      least = expected;
    }
  }
  return best;
}

} // namespace monsooncroft::serving
