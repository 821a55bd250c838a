/**
 * @file merge_func.h
 * Merges the JSON results of shards.
 */
#ifndef MONSOONCROFT_POLICY_MERGE_FUNC_H
#define MONSOONCROFT_POLICY_MERGE_FUNC_H

#include "model/contract_type.h"

#include <set>
#include <string>
#include <vector>

namespace monsooncroft::policy {

/** Result of one shard as sent by its leaf. */
struct shard_result
{
  model::shard_id mShard;
  std::string mJson; ///< Untrusted, may be malformed.
};

/** Merged result for the caller, and the shards that it covers. */
struct merged_results
{
  std::string mJson; ///< The merged value.
  /** Shards whose results are in mJson. */
  std::set<model::shard_id> mMergedShards;
  /** Shards whose results were unusable. */
  std::set<model::shard_id> mRejectedShards;
};

/**
 * Merges results. A result that is not JSON, is nested too deeply, has the
 * wrong type for the rule or overflows a sum is left out entirely, and its
 * shard is rejected.
 * @param aRule Merge rule of the contract.
 * @param aLimit Number of entries kept by merge_rule::Top.
 * @param aResults Results in the order of shards.
 */
merged_results
MergeResults(model::merge_rule aRule,
             int aLimit,
             const std::vector<shard_result>& aResults);

} // namespace monsooncroft::policy

#endif
