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
  passage Admit(const content_hash& aContent,
                const model::service_id& aService,
                model::wall_instant aWall) const;

  void Doubt(const suspicion& aSuspicion);   ///< Until confirmed or dismissed.
  void Dismiss(const suspicion& aSuspicion); ///< The leaf had not died.

  /** The leaf died. @return The mark, to be spread before any answer. */
  death_mark Confirm(const suspicion& aSuspicion, model::wall_instant aWall);

  /**
   * Every shard of the request was answered. One shard's answer proves
   * nothing of the others: a request may kill the leaves of one shard only.
   * @param aAlone Whether it ran under passage::Isolated.
   * @return The marks that are cleared by it, to be spread.
   */
  std::vector<death_mark> OnAnswered(const content_hash& aContent,
                                     bool aAlone,
                                     model::wall_instant aWall);

  /** Takes in another instance's mark. @return Whether it was news. */
  bool Merge(const death_mark& aMark, model::wall_instant aWall);
  std::vector<death_mark> Export(
    model::wall_instant aWall) const; ///< All marks that have not expired.

  void OnTimer(model::wall_instant aWall); ///< Forgets what has expired.
  std::size_t Marks() const { return mMarks.size(); }

private:
  using mark_key = std::pair<content_hash, death_hash>;

  std::set<death_hash> Deaths(const content_hash& aContent,
                              model::wall_instant aWall) const;
  std::set<content_hash> Present(const death_hash& aDeath,
                                 model::wall_instant aWall) const;
  bool KilledAlone(const content_hash& aContent,
                   model::wall_instant aWall) const;
  std::size_t Unexplained(const content_hash& aContent,
                          model::wall_instant aWall) const;
  bool IsScreened(const content_hash& aContent,
                  const model::service_id& aService,
                  model::wall_instant aWall) const;
  void Prove(const content_hash& aContent);
  void Bound();

  quarantine_settings mSettings;
  std::map<mark_key, death_mark> mMarks;
  std::set<mark_key> mDoubts; ///< Suspicions of this instance, unconfirmed.
  std::set<content_hash> mProven;
  std::list<content_hash> mProvenOrder; ///< Oldest first.
};

} // namespace monsooncroft::once

#endif
