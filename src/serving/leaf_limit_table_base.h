/**
 * @file leaf_limit_table_base.h
 * Rate limits that leaves name.
 */
#ifndef MONSOONCROFT_SERVING_LEAF_LIMIT_TABLE_BASE_H
#define MONSOONCROFT_SERVING_LEAF_LIMIT_TABLE_BASE_H

#include "model/time_type.h"
#include "serving/leaf_limit_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::serving {

/**
 * The latest known limit of each leaf, from its answers or from the reports of
 * peers. An instance that receives few requests learns a limit, and its end,
 * from others, long before it gets an answer of that leaf itself.
 */
class leaf_limit_table
{
public:
  /**
   * A leaf answered.
   * @param aIncarnation Start time of the leaf, Unix ms.
   * @param aPerSecond The limit that the answer names; nothing if it names
   * none.
   * @return Whether the leaf's limit changed.
   */
  bool OnAnswer(const std::string& aLeafId,
                std::uint64_t aIncarnation,
                std::optional<double> aPerSecond,
                model::instant aNow);
  /** Merges a peer's report; the more recent observation is kept.
   * @return Whether the leaf's limit changed. */
  bool OnReport(const leaf_limit_report& aReport, model::instant aNow);
  /** The leaf is gone or has started again. */
  void Forget(const std::string& aLeafId) { mLimits.erase(aLeafId); }
  /** Requests per second that a leaf accepts from all instances together;
   * nothing if it names no limit. */
  std::optional<double> Limit(const std::string& aLeafId) const;
  /** What peers should know of one leaf; nothing if nothing is known of it. */
  std::optional<leaf_limit_report> Report(const std::string& aLeafId,
                                          model::instant aNow) const;
  /**
   * Known limits and recent ends of limits, for peers. Successive calls return
   * each of them in turn.
   * @param aMaxCount Maximum number of reports.
   */
  std::vector<leaf_limit_report> NextReports(std::size_t aMaxCount,
                                             model::instant aNow);

private:
  struct observation
  {
    std::uint64_t mIncarnation = 0;
    std::optional<double> mPerSecond; ///< Nothing after the limit has ended.
    model::instant mObservedAt;
  };

  static leaf_limit_report MakeReport(const std::string& aLeafId,
                                      const observation& aObservation,
                                      model::instant aNow);

  std::map<std::string, observation> mLimits; ///< By leaf.
  std::string mLastReported;                  ///< Leaf of the last report.
};

} // namespace monsooncroft::serving

#endif
