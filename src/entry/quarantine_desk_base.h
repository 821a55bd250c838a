/**
 * @file quarantine_desk_base.h
 * This instance's part in keeping requests that kill leaves from doing so.
 */
#ifndef MONSOONCROFT_ENTRY_QUARANTINE_DESK_BASE_H
#define MONSOONCROFT_ENTRY_QUARANTINE_DESK_BASE_H

#include "cluster/gossip_update_type.h"
#include "entry/leaf_table_base.h"
#include "once/crash_detector_base.h"
#include "once/quarantine_base.h"
#include "once/screening_queue_base.h"

#include <condition_variable>
#include <functional>
#include <list>

namespace monsooncroft::net {
class http_pool;
}

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::entry {

/** An attempt of content that became suspected while its query ran. */
constexpr const char* kReasonSuspected = "suspected";

class manifest_table;

/** What the desk uses; all outlives it. */
struct quarantine_parts
{
  net::http_connector& mTimers;
  net::http_pool& mPool;
  leaf_table& mLeaves;
  manifest_table& mManifests;
  const ops::log& mLog;
  model::instance_id mSelf;
};

/**
 * Holds the marks, gathers evidence at leaves, tells the other instances and
 * gives turns to suspects. Thread safe; lock rank Record.
 */
class quarantine_desk
{
public:
  using put = std::function<void(const cluster::gossip_update&)>;

  /** Listens to the leaves from now on. @pre Before any work. */
  quarantine_desk(quarantine_parts aParts,
                  const once::quarantine_settings& aSettings);

  /** Where rumours are put. @pre Before any work. */
  void SetPut(put aPut);

  /** How a request may go to the leaves now. */
  once::screening_permit Admit(const once::content_hash& aContent,
                               const model::service_id& aService) const;

  /**
   * Waits for a turn; blocks.
   * @return False if it is not run: too many wait, or the deadline came.
   */
  bool AwaitTurn(const std::string& aKey, model::instant aDeadline);
  void LeaveTurn(const std::string& aKey); ///< Whoever got its turn, once.

  /** A request was answered; see once::quarantine::OnAnswered. */
  void OnAnswered(const once::content_hash& aContent, bool aAlone);

  void OnRumour(
    const cluster::gossip_update& aRumour);      ///< Of another instance.
  std::string OnMarks(const std::string& aBody); ///< Body of POST /peer/marks.
  void Tick(); ///< Forgets what has expired; call each second.
  std::size_t Marks() const;

private:
  /** An attempt whose end waits for its leaf's fate. */
  struct held_end
  {
    model::leaf_id mLeaf;
    once::suspicion mSuspicion;
    leaf_observer::release mRelease;
  };
  using held_ends = std::vector<held_end>;

  /** What settling suspicions asks for; carried out without the lock. */
  struct settled
  {
    held_ends mDied;
    held_ends mAlive;
    std::vector<once::crash_mark> mMarks;
  };

  const char* Objection(const leaf_job& aJob) const;
  void OnLoss(const leaf_loss& aLoss, const leaf_observer::release& aRelease);
  void OnBoot(const model::leaf_id& aLeaf, const policy::boot_id& aBoot);
  void Ask(const model::leaf_id& aLeaf, model::instant aSince);
  void OnLife(const model::leaf_id& aLeaf,
              model::instant aSince,
              const link::probe_result& aEnd);
  once::crash_detector& Watch(const model::leaf_id& aLeaf);
  settled Settle(const once::settled_suspicions& aSuspicions);
  held_ends TakeHeld(const once::suspicion& aSuspicion);
  void Carry(const settled& aSettled);
  void Tell(const std::vector<once::crash_mark>& aMarks,
            const std::function<void()>& aTold);

  quarantine_parts mParts;
  put mPut;
  mutable ranked_mutex mMutex{ lock_rank::Record };
  std::condition_variable_any mTurned; ///< Somebody's turn has come.
  once::quarantine mQuarantine;
  std::map<model::leaf_id, once::crash_detector> mWatches;
  std::list<held_end> mHeld;
  once::screening_queue mTrials;
  once::screening_id mLastTrial = 0;
  std::set<once::screening_id> mTurns; ///< Given, not yet taken up.
};

} // namespace monsooncroft::entry

#endif
