/**
 * @file leaf_notice_table_base.h
 * What leaves say of themselves in their answers.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_NOTICE_TABLE_BASE_H
#define MONSOONCROFT_SERVING_LEAF_NOTICE_TABLE_BASE_H

#include "model/time_type.h"
#include "serving/leaf_departure_type.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace monsooncroft::serving {

struct leaf_registration;

/**
 * Leaves that are leaving, and pauses that leaves ask this instance for. Kept
 * apart from the registrations, which may be older than an answer, lapse and
 * return. Both hold for one process of a leaf: they end when the leaf registers
 * with a later start time, not when its registration changes otherwise.
 */
class leaf_notice_table
{
public:
  /**
   * A leaf said in an answer that it is leaving.
   * @param aLeaf Registration under which the request was sent; the answering
   * process may have started later.
   * @return Whether this was not known.
   */
  bool OnLeaving(const leaf_registration& aLeaf, model::wall_instant aWallNow);
  /** A peer has got such an answer. @return Whether this was not known. */
  bool OnReport(const leaf_departure& aReport);
  /** A leaf asked for a pause. The longest one counts.
   * @return Whether the leaf was not paused before. */
  bool OnPause(const leaf_registration& aLeaf,
               model::duration aPause,
               model::instant aNow,
               model::wall_instant aWallNow);

  bool IsLeaving(const leaf_registration& aLeaf) const;
  /** End of the pause; a time in the past if there is none. */
  model::instant PausedUntil(const leaf_registration& aLeaf) const;

  /**
   * Departures for peers. Successive calls return each of them in turn.
   * @param aMaxCount Maximum number of reports.
   * @param aIsRelevant Whether peers may still send requests to the leaf of
   * this id.
   */
  std::vector<leaf_departure> NextReports(
    std::size_t aMaxCount,
    const std::function<bool(const std::string&)>& aIsRelevant);
  /** Forgets leaves that have not been registered for long.
   * @param aIsRegistered Whether the leaf of this id is registered. */
  void OnTimer(const std::function<bool(const std::string&)>& aIsRegistered,
               model::instant aNow);
  std::size_t Size() const { return mNotices.size(); }

private:
  struct notice
  {
    /** As leaf_departure::mStartedBy; 0 if the leaf is not leaving. */
    std::uint64_t mLeavingStartedBy = 0;
    /** Latest start time of the process that asked for a pause, Unix ms. */
    std::uint64_t mPausedStartedBy = 0;
    model::instant mPausedUntil;
    model::instant mLastRegistered;
  };

  /** Latest possible start time of a process that has answered, Unix ms. */
  static std::uint64_t StartedBy(const leaf_registration& aLeaf,
                                 model::wall_instant aWallNow);
  bool SetLeaving(const std::string& aId, std::uint64_t aStartedBy);

  std::map<std::string, notice> mNotices; ///< By leaf.
  std::string mLastReported;              ///< Leaf of the last report.
};

} // namespace monsooncroft::serving

#endif
