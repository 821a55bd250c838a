/**
 * @file coverage_type.h
 * Partners or quarters that an answer covers.
 */
#ifndef MONSOONCROFT_MODEL_COVERAGE_TYPE_H
#define MONSOONCROFT_MODEL_COVERAGE_TYPE_H

#include "model/service_type.h"

#include <set>
#include <vector>

namespace monsooncroft::model {

/**
 * Coverage of one answer, counted in coverage names. A name counts as answered
 * only if every shard that covers it answered.
 */
struct coverage
{
  int mAnswered = 0; ///< Number of names whose shards all answered.
  int mTotal = 0;    ///< Number of coverage names of the service.
  std::vector<coverage_name>
    mMissing; ///< Names that are not counted in mAnswered, sorted.

  /**
   * Computes the coverage of an answer.
   * @param aService The service at the pinned manifest version.
   * @param aAnswered The shards whose results are in the answer.
   */
  static coverage Compute(const service& aService,
                          const std::set<shard_id>& aAnswered);

  double Fraction() const; ///< Answered names divided by all names; 1 for a
                           ///< service without names.

  bool operator==(const coverage&) const = default;
};

} // namespace monsooncroft::model

#endif
