/**
 * @file merge_func.h
 * Merging the shards' JSON results into one.
 */
#ifndef MONSOONCROFT_POLICY_MERGE_FUNC_H
#define MONSOONCROFT_POLICY_MERGE_FUNC_H

#include "model/contract_type.h"

#include <set>
#include <string>
#include <vector>

namespace monsooncroft::policy {

/** One shard's result as its leaf sent it. */
struct shard_result
{
  model::shard_id mShard;
  std::string mJson; ///< Not trusted.
};

/** One result for the caller, and whose results are in it. */
struct merged_results
{
  std::string mJson;                       ///< The merged value.
  std::set<model::shard_id> mMergedShards; ///< Shards whose results are in it.
  std::set<model::shard_id>
    mRejectedShards; ///< Shards whose results were unusable.
};

/**
 * Merges results. A result that is no JSON, nested too deeply or of the wrong
 * type for the rule is left out whole and its shard rejected.
 * @param aRule How.
 * @param aLimit Entries kept by merge_rule::Top.
 * @param aResults In the order of shards.
 */
merged_results
MergeResults(model::merge_rule aRule,
             int aLimit,
             const std::vector<shard_result>& aResults);

} // namespace monsooncroft::policy

#endif
