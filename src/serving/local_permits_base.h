/**
 * @file local_permits_base.h
 * This instance's own share of leaves' rate limits.
 */
#ifndef MONSOONCROFT_SERVING_LOCAL_PERMITS_BASE_H
#define MONSOONCROFT_SERVING_LOCAL_PERMITS_BASE_H

#include "serving/permit_type.h"
#include "serving/token_bucket_base.h"

#include <map>
#include <random>
#include <string>

namespace monsooncroft::serving {

/**
 * Permits while the instance that issues them does not respond: each instance
 * may use an equal share of a leaf's limit. The buckets hold one token at most
 * and begin at a random level, so that dozens of instances that lose the issuer
 * at the same moment do not all send at once.
 */
class local_permits
{
public:
  /** @param aSeed Differs between instances. */
  explicit local_permits(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
  }

  /** @param aInstances Instances that may be sending, including this one. */
  permit_decision Decide(const permit_item& aItem,
                         std::size_t aInstances,
                         model::instant aNow);
  /** Drops the buckets that were not used recently. */
  void OnTimer(model::instant aNow);

private:
  struct leaf_state
  {
    token_bucket mBucket;
    model::instant mLastRequest;
  };

  std::mt19937_64 mRandom;
  std::map<std::string, leaf_state> mLeaves; ///< By id.
};

} // namespace monsooncroft::serving

#endif
