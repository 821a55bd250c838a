/**
 * @file coverage_type.h
 * Which partners or quarters an answer holds.
 */
#ifndef MONSOONCROFT_MODEL_COVERAGE_TYPE_H
#define MONSOONCROFT_MODEL_COVERAGE_TYPE_H

#include "model/service_type.h"

#include <set>
#include <vector>

namespace monsooncroft::model {

/** Coverage of one answer, in names; a name counts only if every shard that
 * covers it answered. */
struct coverage
{
  int mAnswered = 0;                   ///< Names whose shards all answered.
  int mTotal = 0;                      ///< Names of the service.
  std::vector<coverage_name> mMissing; ///< The others, sorted.

  /**
   * Works out the coverage of an answer.
   * @param aService The service at the pinned manifest.
   * @param aAnswered The shards whose results are in the answer.
   */
  static coverage Compute(const service& aService,
                          const std::set<shard_id>& aAnswered);

  double Fraction()
    const; ///< Answered names over all; 1 for a service without names.

  bool operator==(const coverage&) const = default;
};

} // namespace monsooncroft::model

#endif
