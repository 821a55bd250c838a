/**
 * @file leaf_health_base.h
 * Latency and failure statistics of one leaf, and the choice of a replica.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_HEALTH_BASE_H
#define MONSOONCROFT_SERVING_LEAF_HEALTH_BASE_H

#include "model/time_type.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace monsooncroft::serving {

/**
 * Latency, errors, outstanding attempts and last contact of one leaf, as this
 * instance has observed them. Replicas differ in speed, pause, slow down for
 * seconds or stop responding: attempts go where the expected latency is lowest,
 * an unresponsive leaf is avoided from its first overdue answer on, and a slow
 * leaf is tried again after some time, since it may have recovered unobserved.
 */
class leaf_health
{
public:
  /** @param aMeanServiceTime The route's mean service time. */
  void OnAttemptSent(model::instant aNow,
                     model::duration aMeanServiceTime = {});
  /**
   * @param aQueuedAt When the attempt was passed to the leaf, as in
   * OnAttemptSent.
   * @param aServiceTime Time at the leaf, without the network round trip.
   * @param aMeanServiceTime The route's mean service time.
   * @return Excess latency: the service time above the route's mean.
   */
  model::duration OnAnswer(model::instant aQueuedAt,
                           model::duration aServiceTime,
                           model::duration aMeanServiceTime,
                           model::instant aNow);
  /**
   * The attempt ended without an answer.
   * @param aMinServiceTime Time that the attempt had spent at the leaf, a lower
   * bound of its service time; nothing if it shows nothing of the leaf's speed.
   * @return Excess latency, if it is above the known one.
   */
  std::optional<model::duration> OnAttemptDropped(
    model::instant aQueuedAt,
    std::optional<model::duration> aMinServiceTime,
    model::duration aMeanServiceTime,
    model::instant aNow);
  /** No connection could be established, or all of them were reset. */
  void OnConnectionRefused(model::instant aNow);
  void OnConnected(model::duration aRoundTrip, model::instant aNow);
  /** The leaf rejected the attempt or answered with an error. */
  void OnError(model::instant aQueuedAt, model::instant aNow);
  /** The leaf got a request whose answer was lost, such as by a reset. */
  void OnLostAnswer(model::instant aNow) { RecordError(aNow); }
  /** A peer received an error answer from the leaf. */
  void OnPeerError(model::instant aNow) { RecordError(aNow); }
  /** A peer received an answer with this excess latency, or reports that the
   * leaf is no longer slow. */
  void OnPeerLatency(model::duration aExcess, model::instant aNow);
  /** A peer found the leaf unresponsive or refusing connections.
   * @param aUntil Until when to avoid the leaf, approximately. */
  void OnPeerSuspicion(model::instant aUntil);
  void SetColdUntil(model::instant aUntil) { mColdUntil = aUntil; }
  /** The leaf is in another data centre; traffic between them is expensive. */
  void SetInOtherDataCentre(bool aInOther) { mInOtherDataCentre = aInOther; }

  /** The leaf's data centre is unreachable. */
  void SetDataCentreUnreachable(bool aUnreachable)
  {
    mDataCentreUnreachable = aUnreachable;
  }

  /** When the oldest outstanding attempt was sent, if its answer is overdue. */
  std::optional<model::instant> OverdueSince(model::duration aMeanServiceTime,
                                             model::instant aNow) const;
  /** Last answer or connection; the clock's epoch before the first. */
  model::instant LastContact() const { return mLastContact; }
  model::duration RoundTrip() const { return mRoundTrip; }
  /** Whether the leaf is unresponsive, its data centre is unreachable, or a
   * peer suspects it. */
  bool IsSuspect(model::duration aMeanServiceTime, model::instant aNow) const;
  /** Whether this instance itself has an overdue answer, refused connections or
   * a recent failure. */
  bool IsUnresponsive(model::duration aMeanServiceTime,
                      model::instant aNow) const;
  /** Whether a connection is established and no answer is long overdue. */
  bool IsKnownReachable(model::instant aNow) const;
  /** Whether connections failed or an attempt was unanswered for long, without
   * contact since. A leaf that was never connected is neither known reachable
   * nor known unreachable. */
  bool IsKnownUnreachable(model::instant aNow) const;
  /** Whether the leaf refused connections recently, so that no connection is
   * attempted now. */
  bool InConnectBackoff(model::instant aNow) const
  {
    return aNow < mConnectBackoffUntil;
  }
  model::instant ConnectBackoffUntil() const { return mConnectBackoffUntil; }
  /** Service time above the route's mean, from the leaf's speed and queue. */
  model::duration ExcessLatency(model::instant aNow) const;
  /** Time that error answers add to an attempt on average. */
  model::duration ExpectedErrorCost(model::instant aNow) const;
  /** Expected time from sending an attempt to its answer, without errors. */
  model::duration ExpectedLatency(model::duration aMeanServiceTime,
                                  model::instant aNow) const;

private:
  void RemoveOutstanding(model::instant aQueuedAt);
  void OnResponse(model::instant aQueuedAt, model::instant aNow);
  void OnContact(model::instant aNow);
  /** Adds a sample to the mean excess latency, with weight 1 / aDivisor. */
  void RecordExcessSample(model::duration aExcess,
                          int aDivisor,
                          model::instant aNow);
  void RecordError(model::instant aNow);
  bool IsFailed(model::instant aNow) const { return aNow < mFailedUntil; }
  double ErrorRate(model::instant aNow) const;

  struct outstanding_attempt
  {
    model::instant mSentAt;
    model::duration mMeanServiceTime; ///< The route's.
  };

  std::vector<outstanding_attempt> mOutstanding; ///< Oldest first.
  model::duration mRoundTrip{ 0 };               ///< 0: not measured.
  model::duration mExcessLatency{ 0 };           ///< Mean at mExcessLatencyAt.
  model::instant mExcessLatencyAt;
  model::duration mLastExcessSample{ 0 };
  double mErrorRate = 0; ///< Share of errors in answers, weighted by age.
  model::instant mErrorRateAt;
  model::instant mLastContact;
  std::optional<model::instant> mLastResponse;
  model::instant mColdUntil;
  model::instant mConnectBackoffUntil;
  model::instant mPeerSuspectUntil;
  int mConsecutiveRefusals = 0;
  bool mInOtherDataCentre = false;
  bool mDataCentreUnreachable = false;
  /** A connection was established, and the leaf has not failed since. */
  bool mConnected = false;
  /** The leaf counts as failed until this time, unless there is contact. */
  model::instant mFailedUntil;
};

/**
 * Chooses the replica with the lowest expected latency, expected error cost
 * included.
 * @param aCandidates Usable replicas; null entries are skipped.
 * @param aMeanServiceTime The route's mean service time.
 * @param aTieBreak Index at which the comparison begins, so that ties are
 * broken differently for each instance and request.
 * @return Index of the replica; nothing if there is none.
 */
std::optional<std::size_t>
ChooseReplica(const std::vector<const leaf_health*>& aCandidates,
              model::duration aMeanServiceTime,
              std::size_t aTieBreak,
              model::instant aNow);

} // namespace monsooncroft::serving

#endif
