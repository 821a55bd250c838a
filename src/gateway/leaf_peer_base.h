/**
 * @file leaf_peer_base.h
 * One leaf, as this instance works with it.
 */
#ifndef MONSOONCROFT_GATEWAY_LEAF_PEER_BASE_H
#define MONSOONCROFT_GATEWAY_LEAF_PEER_BASE_H

#include "gateway/leaf_attempt_type.h"
#include "once/death_watch_base.h"
#include "serving/leaf_entry_type.h"
#include "serving/leaf_load_base.h"
#include "serving/link_split_func.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace monsooncroft::gateway {

class event_loop;
class leaf_link;
class leaf_observer;
struct header_names;

/** What a connection's end tells of its leaf. */
enum class link_end : std::uint8_t
{
  Refused, ///< It could not be made.
  Capped,  ///< It was made but never of use: a leaf at its limit of
           ///< connections accepts further ones and resets them.
  Rested,  ///< The leaf closed it after a time without requests.
  Ended,   ///< It had been of use.
};

/** A leaf's registration, load, connections and the attempts that wait. */
class leaf_peer
{
public:
  /**
   * @param aOpensAheadAfter Pause before an unused connection that the leaf
   * has closed is opened again without work.
   */
  leaf_peer(event_loop& aLoop,
            const header_names& aNames,
            leaf_observer& aObserver,
            serving::leaf_entry aEntry,
            model::duration aOpensAheadAfter);
  ~leaf_peer();
  leaf_peer(const leaf_peer&) = delete;
  leaf_peer& operator=(const leaf_peer&) = delete;
  leaf_peer(leaf_peer&&) = delete;
  leaf_peer& operator=(leaf_peer&&) = delete;

  const serving::leaf_entry& Entry() const { return mEntry; }
  void Update(const serving::leaf_entry& aEntry, model::instant aNow);
  void SetShare(const serving::link_share& aShare) { mShare = aShare; }
  /** It may be given new work. */
  bool TakesWork(model::instant aNow) const
  {
    const bool capped = aNow < mCappedUntil && mLinks.empty();
    return !mEntry.mDraining && !mMisdirected && !capped;
  }
  serving::leaf_load& Load() { return mLoad; }
  const serving::leaf_load& Load() const { return mLoad; }

  /** Sends the attempt as soon as a connection is free, earliest due first. */
  void Submit(leaf_attempt_ptr aAttempt, model::instant aNow);
  /** Sends what waits, opens connections up to the share. */
  void Dispatch(model::instant aNow);
  /** @param aWarm Connections may be opened ahead of work. */
  void OnTick(bool aWarm, model::instant aNow);
  /** Opens a connection to see whether the leaf can be reached. */
  void Try();
  /** No new work; connections close as they become free. */
  void Retire();
  bool Quiet() const; ///< No connection is busy, nothing waits.
  /** All waits that no connection has taken up end unsent. */
  void FailWaiting(const char* aReason);

  // For the links.
  void OnLinkConnected(model::duration aRoundTrip, model::instant aNow);
  void OnLinkClosed(leaf_link& aLink, link_end aEnd, const char* aReason);
  /** How an attempt on a link ended. */
  struct attempt_outcome
  {
    attempt_end mEnd;
    bool mUseful; ///< An answer that is no failure.
    model::instant mAt;
  };
  void OnAttemptDone(const leaf_attempt& aAttempt,
                     const attempt_outcome& aOutcome);
  /** A connection died under a request: the leaf may have. */
  void OnDiedWith(const leaf_attempt& aAttempt, model::instant aNow);
  void OnMisdirected() { mMisdirected = true; }
  bool Has(const leaf_link& aLink) const;

private:
  void Open();
  std::size_t Connecting() const; ///< Links that are not made yet.
  /** Links that the function closes, or others by it, are passed over. */
  void ForEachLink(const std::function<void(leaf_link&)>& aDo);
  void TakeWaiting(leaf_link& aLink, model::instant aNow);
  void DropExpired(model::instant aNow);
  void CloseIdle(model::instant aNow);
  void Settle(const once::settled_suspicions& aSettled);

  event_loop& mLoop;
  const header_names& mNames;
  leaf_observer& mObserver;
  serving::leaf_entry mEntry;
  serving::leaf_load mLoad;
  model::duration mOpensAheadAfter; ///< Different for each instance.
  serving::link_share mShare{ 1, true };
  bool mMisdirected = false; ///< Another leaf answers at its address.
  bool mRetired = false;
  bool mProbes = false; ///< A connection died under a request.
  once::death_watch mDeaths;
  model::instant mCappedUntil;
  model::instant mOpensAheadFrom; ///< After the leaf closed what was idle.
  std::vector<std::unique_ptr<leaf_link>> mLinks;
  std::deque<leaf_attempt_ptr> mWaiting; ///< Earliest due first.
};

using leaf_peer_ptr = std::shared_ptr<leaf_peer>;

/** Who counts what happens at leaves. */
class leaf_observer
{
public:
  leaf_observer() = default;
  virtual ~leaf_observer() = default;
  leaf_observer(const leaf_observer&) = delete;
  leaf_observer& operator=(const leaf_observer&) = delete;
  leaf_observer(leaf_observer&&) = delete;
  leaf_observer& operator=(leaf_observer&&) = delete;

  /**
   * The way to a data centre is lost or back.
   * @param aOverdue Leaves there whose answers are overdue.
   */
  virtual void OnWay(const std::string& aDataCentre,
                     bool aLost,
                     std::size_t aOverdue) = 0;
  virtual void OnLinkOpened(const leaf_peer& aLeaf) = 0;
  /** An answer took so much more than usual, which was not known. */
  virtual void OnSpeed(const leaf_peer& aLeaf, model::duration aExcess) = 0;
  virtual void OnUseless(const leaf_peer& aLeaf) = 0; ///< It refused or failed.
  /** The leaf died with a request that may have killed it. */
  virtual void OnLeafDied(const leaf_peer& aLeaf,
                          const once::suspicion& aSuspicion) = 0;
  /** @param aReason In few words. */
  virtual void OnLinkLost(const leaf_peer& aLeaf, const char* aReason) = 0;
};

} // namespace monsooncroft::gateway

#endif
