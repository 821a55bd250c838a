/**
 * @file warmup_table.cpp
 * Load ramp of leaves that have just started.
 */
#include "policy/warmup_table_base.h"

#include <algorithm>

namespace monsooncroft::policy {

void
warmup_table::OnReply(const model::leaf_id& aLeaf,
                      const boot_id& aBoot,
                      model::instant aNow)
{
  const auto [entry, first] =
    mBoots.try_emplace(aLeaf, boot_record{ aBoot, {} });
  if (!first && entry->second.mBoot != aBoot) {
    entry->second = boot_record{ aBoot, aNow };
  }
}

double
warmup_table::LoadShare(const model::leaf_id& aLeaf, model::instant aNow) const
{
  const auto found = mBoots.find(aLeaf);
  if (found == mBoots.end() || !found->second.mStartedAt) {
    return 1;
  }
  const auto age =
    static_cast<double>((aNow - *found->second.mStartedAt).count());
  return std::clamp(
    age / static_cast<double>(mRampDuration.count()), kMinShare, 1.0);
}

void
warmup_table::Forget(const model::leaf_id& aLeaf)
{
  mBoots.erase(aLeaf);
}

} // namespace monsooncroft::policy
