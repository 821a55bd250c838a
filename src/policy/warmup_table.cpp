/**
 * @file warmup_table.cpp
 * Ramp of leaves that have just started.
 */
#include "policy/warmup_table_base.h"

#include <algorithm>

namespace monsooncroft::policy {

void
warmup_table::OnReply(const model::leaf_id& aLeaf,
                      const boot_id& aBoot,
                      model::instant aNow)
{
  const auto [entry, first] = mLives.try_emplace(aLeaf, life{ aBoot, {} });
  if (!first && entry->second.mBoot != aBoot) {
    entry->second = life{ aBoot, aNow };
  }
}

double
warmup_table::Share(const model::leaf_id& aLeaf, model::instant aNow) const
{
  const auto found = mLives.find(aLeaf);
  if (found == mLives.end() || !found->second.mSince) {
    return 1;
  }
  const auto age = static_cast<double>((aNow - *found->second.mSince).count());
  return std::clamp(age / static_cast<double>(mRamp.count()), kLeastShare, 1.0);
}

void
warmup_table::Forget(const model::leaf_id& aLeaf)
{
  mLives.erase(aLeaf);
}

} // namespace monsooncroft::policy
