/**
 * @file quarantine_base.h
 * Requests that are suspected or known to crash leaves.
 */
#ifndef MONSOONCROFT_ONCE_QUARANTINE_BASE_H
#define MONSOONCROFT_ONCE_QUARANTINE_BASE_H

#include "once/quarantine_type.h"

#include <list>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace monsooncroft::once {

/**
 * Crash marks known to this instance, and the screening permits that follow
 * from them. One crash makes every request in flight at the leaf a suspect. A
 * suspect is run once more, isolated: a second crash quarantines the suspect,
 * an answer clears it. If a request that was in flight at a crash also crashed
 * a leaf alone, that request explains the crash, and the crash does not count
 * against the other requests in flight there. Bounded. Not thread safe.
 */
class quarantine
{
public:
  explicit quarantine(quarantine_settings aSettings);

  /** Returns how a request may be sent to the leaves now. */
  screening_permit Admit(const content_hash& aContent,
                         const model::service_id& aService,
                         model::wall_instant aWall) const;

  void AddSuspicion(const suspicion& aSuspicion); ///< Counts as a crash until
                                                  ///< confirmed or dismissed.
  void DismissSuspicion(
    const suspicion& aSuspicion); ///< The leaf had not crashed.

  /**
   * Records that the leaf crashed.
   * @return The mark, to be distributed to all instances before any answer.
   */
  crash_mark ConfirmSuspicion(const suspicion& aSuspicion,
                              model::wall_instant aWall);

  /**
   * Records that every shard of the request answered. The answer of one shard
   * proves nothing about the others: a request may crash the leaves of one
   * shard only.
   * @param aAlone Whether the request ran under screening_permit::Isolated.
   * @return The marks that the answer clears, to be distributed to all
   * instances.
   */
  std::vector<crash_mark> OnAnswered(const content_hash& aContent,
                                     bool aAlone,
                                     model::wall_instant aWall);

  /**
   * Records that a leaf of the service answered the request, where requests are
   * not isolated: the request did not cause crashes of that service's leaves,
   * and other services' marks remain.
   * @return The marks that the answer clears, to be distributed.
   */
  std::vector<crash_mark> OnServiceAnswered(const content_hash& aContent,
                                            const model::service_id& aService,
                                            model::wall_instant aWall);

  /**
   * Merges a mark received from another instance.
   * @return Whether the mark was added or replaced a known one.
   */
  bool Merge(const crash_mark& aMark, model::wall_instant aWall);
  std::vector<crash_mark> UnexpiredMarks(
    model::wall_instant aWall) const; ///< All marks that have not expired.

  void OnTimer(model::wall_instant aWall); ///< Removes the expired marks.
  std::size_t MarkCount() const { return mMarks.size(); }
  bool HasUnclearedMarks(const content_hash& aContent) const;

private:
  using mark_key = std::pair<content_hash, crash_hash>;

  std::set<crash_hash> CrashesOf(const content_hash& aContent,
                                 model::wall_instant aWall) const;
  std::set<content_hash> SuspectsOf(const crash_hash& aCrash,
                                    model::wall_instant aWall) const;
  bool CrashedLeafAlone(const content_hash& aContent,
                        model::wall_instant aWall) const;
  std::size_t UnexplainedCrashes(const content_hash& aContent,
                                 model::wall_instant aWall) const;
  bool NeedsScreening(const content_hash& aContent,
                      const model::service_id& aService,
                      model::wall_instant aWall) const;
  void RecordHarmless(const content_hash& aContent);
  void EvictExcessMarks();

  quarantine_settings mSettings;
  std::map<mark_key, crash_mark> mMarks;
  std::set<mark_key>
    mOpenSuspicions; ///< Unconfirmed suspicions of this instance.
  std::set<content_hash> mHarmless;
  std::list<content_hash>
    mHarmlessOrder; ///< Requests in mHarmless, oldest first.
};

} // namespace monsooncroft::once

#endif
