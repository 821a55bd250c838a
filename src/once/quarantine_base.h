/**
 * @file quarantine_base.h
 * Requests that are suspected or known to kill leaves.
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
 * The marks that this instance knows and what follows from them. One death
 * makes every request in flight at the leaf a suspect; a suspect is tried once
 * more, alone; a second death quarantines it, an answer clears it. A death that
 * is explained by a request that also killed a leaf alone does not count
 * against the others that were there. Bounded. Not thread safe.
 */
class quarantine
{
public:
  explicit quarantine(quarantine_settings aSettings);

  /** How a request may go to the leaves now. */
  screening_permit Admit(const content_hash& aContent,
                         const model::service_id& aService,
                         model::wall_instant aWall) const;

  void AddSuspicion(
    const suspicion& aSuspicion); ///< Until confirmed or dismissed.
  void DismissSuspicion(
    const suspicion& aSuspicion); ///< The leaf had not died.

  /** The leaf died. @return The mark, to be spread before any answer. */
  crash_mark ConfirmSuspicion(const suspicion& aSuspicion,
                              model::wall_instant aWall);

  /**
   * Every shard of the request was answered. One shard's answer proves
   * nothing of the others: a request may kill the leaves of one shard only.
   * @param aAlone Whether it ran under passage::Isolated.
   * @return The marks that are cleared by it, to be spread.
   */
  std::vector<crash_mark> OnAnswered(const content_hash& aContent,
                                     bool aAlone,
                                     model::wall_instant aWall);

  /** Takes in another instance's mark. @return Whether it was news. */
  bool Merge(const crash_mark& aMark, model::wall_instant aWall);
  std::vector<crash_mark> UnexpiredMarks(
    model::wall_instant aWall) const; ///< All marks that have not expired.

  void OnTimer(model::wall_instant aWall); ///< Forgets what has expired.
  std::size_t MarkCount() const { return mMarks.size(); }

private:
  using mark_key = std::pair<content_hash, crash_hash>;

  std::set<crash_hash> CrashesOf(const content_hash& aContent,
                                 model::wall_instant aWall) const;
  std::set<content_hash> SuspectsOf(const crash_hash& aDeath,
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
    mOpenSuspicions; ///< Suspicions of this instance, unconfirmed.
  std::set<content_hash> mHarmless;
  std::list<content_hash> mHarmlessOrder; ///< Oldest first.
};

} // namespace monsooncroft::once

#endif
