/**
 * @file manifest_store_source_base.h
 * The manifest store as the cluster reads it.
 */
#ifndef MONSOONCROFT_ENTRY_MANIFEST_STORE_SOURCE_BASE_H
#define MONSOONCROFT_ENTRY_MANIFEST_STORE_SOURCE_BASE_H

#include "entry/ranked_mutex_base.h"
#include "peer/cluster_node_base.h"
#include "store/store_type.h"

#include <map>

namespace monsooncroft::store {
class key_value_service;
}

namespace monsooncroft::entry {

/** Heads and chunks at the platform. Thread safe; lock rank Tables. */
class manifest_store_source
  : public peer::manifest_source
  , public cluster::manifest_format
{
public:
  /** @param aStore The platform; outlives this. */
  explicit manifest_store_source(store::key_value_service& aStore);

  cluster::head_answer ReadHead() override;
  cluster::head_answer WatchHead() override;
  std::optional<std::string> ReadText(const std::string& aHash) override;

  std::optional<cluster::manifest_head> ParseHead(
    const std::string& aText) const override;
  std::string Hash(const std::string& aText) const override;

private:
  cluster::head_answer ToAnswer(const store::read_outcome& aOutcome,
                                bool aWatch);

  store::key_value_service& mStore;
  mutable ranked_mutex mMutex{ lock_rank::Tables };
  store::revision mSeen = 0; ///< Revision of the head last given.
  /** Platform keys of chunks, by hash, from every head that was parsed. */
  mutable std::map<std::string, std::string> mKeys;
};

/** Name of the chunk that holds the tenants. */
constexpr const char* kTenantsChunk = "tenants";

} // namespace monsooncroft::entry

#endif
