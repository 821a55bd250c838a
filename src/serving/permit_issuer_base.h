/**
 * @file permit_issuer_base.h
 * Issues permits for leaves that limit their rate, on behalf of all instances.
 */
#ifndef MONSOONCROFT_SERVING_PERMIT_ISSUER_BASE_H
#define MONSOONCROFT_SERVING_PERMIT_ISSUER_BASE_H

#include "serving/permit_type.h"
#include "serving/token_bucket_base.h"

#include <map>
#include <string>

namespace monsooncroft::serving {

/**
 * Keeps a token bucket for each leaf. One instance issues the permits of a
 * group of services, so that the limit holds for the fleet however unevenly
 * requests arrive, and with dozens of instances that each send less than one
 * request per second. A query that cannot get enough permits gets none: when
 * the leaves of many shards limit their rate, permits spread over too many
 * queries would let all of them fail.
 */
class permit_issuer
{
public:
  /**
   * @param aShare Fraction of the leaves' limits that this instance may issue;
   * below 1 while some instances are out of reach and may be sending as well.
   * @return The decisions, in the order of the request's leaves.
   */
  std::vector<permit_decision> Decide(const permit_request& aRequest,
                                      double aShare,
                                      model::instant aNow);
  /** Drops the buckets of leaves that were not asked for recently. */
  void OnTimer(model::instant aNow);
  std::size_t Size() const { return mLeaves.size(); }

private:
  struct leaf_state
  {
    explicit leaf_state(model::instant aNow)
      // Empty at first: an earlier issuer may have used up the leaf's rate.
      : mBucket(0, aNow)
    {
    }

    token_bucket mBucket;
    model::instant mLastRequest{};
    int mUrgentLatencyMs = 0;      ///< Most urgent of the recent requests.
    model::instant mUrgentUntil{}; ///< Until then it counts as recent.
  };

  /** Updates a leaf's state.
   * @return Tokens that the leaf must have for the request. */
  double Prepare(leaf_state& aLeaf,
                 const permit_item& aItem,
                 const permit_request& aRequest,
                 double aShare,
                 model::instant aNow) const;

  std::map<std::string, leaf_state> mLeaves; ///< By id.
};

} // namespace monsooncroft::serving

#endif
