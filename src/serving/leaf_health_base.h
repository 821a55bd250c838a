/**
 * @file leaf_health_base.h
 * What this instance has seen of one leaf, and which replica to use.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_HEALTH_BASE_H
#define MONSOONCROFT_SERVING_LEAF_HEALTH_BASE_H

#include "model/time_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace monsooncroft::serving {

/**
 * Speed, outstanding attempts and signs of life of one leaf. Answers the load
 * of replicas of different speed that also pause, slow down for seconds, or
 * fall silent: work goes where it is expected to end first, a leaf that stands
 * still is passed over from its first overdue answer on, and a slow one is
 * tried again after some time, since its slowness may have ended unseen.
 */
class leaf_health
{
public:
  /** @param aUsualWork The route's mean. */
  void OnAttemptSent(model::instant aNow, model::duration aUsualWork = {});
  /**
   * @param aQueued When the attempt was handed to the leaf, as in OnSent.
   * @param aWork Time at the leaf without the way.
   * @param aUsualWork The route's mean.
   * @return What it took beyond the usual.
   */
  model::duration OnAnswer(model::instant aQueued,
                           model::duration aWork,
                           model::duration aUsualWork,
                           model::instant aNow);
  /**
   * It ended without an answer.
   * @param aAtLeast Time that it had been at the leaf, which the answer would
   * have exceeded; nothing if that tells no speed.
   * @return What it took beyond the usual, if it tells something new.
   */
  std::optional<model::duration> OnAttemptDropped(
    model::instant aQueued,
    std::optional<model::duration> aAtLeast,
    model::duration aUsualWork,
    model::instant aNow);
  void OnConnectionRefused(
    model::instant aNow); ///< No connection could be made, or
                          ///< all of them were reset.
  void OnConnected(model::duration aRoundTrip, model::instant aNow);
  /** The leaf turned it down or failed. */
  void OnError(model::instant aQueued, model::instant aNow);
  /** A peer had such an answer. */
  void OnPeerError(model::instant aNow) { RecordError(aNow); }
  /** A peer had an answer that took so much longer than usual, or tells that
   * the leaf is no longer slow. */
  void OnPeerLatency(model::duration aExcess, model::instant aNow);
  /** A peer has seen the leaf stand still or refuse, until about then. */
  void OnPeerSuspicion(model::instant aUntil);
  void SetColdUntil(model::instant aUntil) { mColdUntil = aUntil; }
  /** It is in another data centre, and links between them are dear. */
  void SetInOtherDataCentre(bool aElsewhere)
  {
    mInOtherDataCentre = aElsewhere;
  }

  /** Its data centre cannot be reached. */
  void SetDataCentreUnreachable(bool aLost) { mDataCentreUnreachable = aLost; }

  /** Since when its oldest attempt waits, if that is overdue. */
  std::optional<model::instant> OverdueSince(model::duration aUsualWork,
                                             model::instant aNow) const;
  /** Last answer or connection; the clock's start if there was none. */
  model::instant LastContact() const { return mLastContact; }
  model::duration RoundTrip() const { return mRoundTrip; }
  /** Overdue answer, refused connections or a peer's word. */
  bool IsSuspect(model::duration aUsualWork, model::instant aNow) const;
  /** The own part of Suspect: an overdue answer or refused connections. */
  bool IsUnresponsive(model::duration aUsualWork, model::instant aNow) const;
  /** A connection stands, and no answer is long overdue. */
  bool IsKnownReachable(model::instant aNow) const;
  /** It does not answer: connections failed or an attempt went unanswered for
   * long, and nothing has come from it since. */
  bool IsKnownUnreachable(model::instant aNow) const;
  /** It refused connections a moment ago. */
  bool InConnectBackoff(model::instant aNow) const
  {
    return aNow < mConnectBackoffUntil;
  }
  model::instant ConnectBackoffUntil() const { return mConnectBackoffUntil; }
  /** What its answers take beyond the usual, by its speed and its queue. */
  model::duration ExcessLatency(model::instant aNow) const;
  /** What its refusals and failures make an attempt longer on average. */
  model::duration ExpectedErrorCost(model::instant aNow) const;
  /** Expected time from sending to the answer, if it is one. */
  model::duration ExpectedLatency(model::duration aUsualWork,
                                  model::instant aNow) const;

private:
  void RemoveOutstanding(model::instant aQueued);
  void OnResponse(model::instant aQueued, model::instant aNow);
  void OnContact(model::instant aNow);
  void RecordExcessSample(model::duration aSample,
                          int aDivisor,
                          model::instant aNow);
  void RecordError(model::instant aNow);
  bool IsFailed(model::instant aNow) const { return aNow < mFailedUntil; }
  double ErrorRate(model::instant aNow) const;

  struct outstanding_attempt
  {
    model::instant mSentAt;
    model::duration mMeanServiceTime;
  };

  std::vector<outstanding_attempt> mOutstanding; ///< Oldest first.
  model::duration mRoundTrip{ 0 };               ///< 0: not measured.
  model::duration mExcessLatency{ 0 };
  model::instant mExcessLatencyAt;
  model::duration mLastExcessSample{ 0 };
  double mErrorRate = 0; ///< Of its answers, weighted by age.
  model::instant mErrorRateAt;
  model::instant mLastContact;
  std::optional<model::instant> mLastResponse;
  model::instant mColdUntil;
  model::instant mConnectBackoffUntil;
  model::instant mPeerSuspectUntil;
  int mConsecutiveRefusals = 0; ///< In a row.
  bool mInOtherDataCentre = false;
  bool mDataCentreUnreachable = false;
  bool mConnected = false; ///< Once, and it has not failed since.
  /** Taken for failed until then, without a sign of life. */
  model::instant mFailedUntil;
};

/**
 * The replica where an attempt is expected to end first.
 * @param aCandidates Replicas that may be used; null entries are passed over.
 * @param aUsualWork The route's mean.
 * @param aTie Breaks ties, different for each instance and request.
 * @return Its place; nothing if there is none.
 */
std::optional<std::size_t>
ChooseReplica(const std::vector<const leaf_health*>& aCandidates,
              model::duration aUsualWork,
              std::size_t aTie,
              model::instant aNow);

} // namespace monsooncroft::serving

#endif
