/**
 * @file service_type.h
 * A service: its shards, leaves and contracts.
 */
#ifndef MONSOONCROFT_MODEL_SERVICE_TYPE_H
#define MONSOONCROFT_MODEL_SERVICE_TYPE_H

#include "model/contract_type.h"
#include "model/leaf_type.h"

#include <vector>

namespace monsooncroft::model {

/** One shard of a service's index. */
struct shard
{
  shard_id mId;
  std::vector<coverage_name>
    mCoverageNames;               ///< Partners or quarters found in the shard.
  std::vector<leaf_id> mReplicas; ///< Leaves that serve the shard.

  bool operator==(const shard&) const = default;
};

/** A service as declared in the manifest. */
struct service
{
  service_id mId;
  std::vector<shard> mShards;
  std::vector<leaf> mLeaves;
  std::vector<contract> mContracts;

  const contract* FindContract(
    const kind_id& aKind) const;                    ///< Null if not declared.
  const leaf* FindLeaf(const leaf_id& aLeaf) const; ///< Null if not declared.
  const shard* FindShard(
    const shard_id& aShard) const; ///< Null if not declared.

  bool operator==(const service&) const = default;
};

} // namespace monsooncroft::model

#endif
