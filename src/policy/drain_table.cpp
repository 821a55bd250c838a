/**
 * @file drain_table.cpp
 * Signals that leaves are leaving.
 */
#include "policy/drain_table_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::instant;
using model::leaf_id;

void
drain_table::OnList(const leaf_id& aLeaf, bool aLeaving, instant aNow)
{
  entry& leaf = mLeaves[aLeaf];
  if (!aLeaving) {
    leaf.mList.reset();
  } else if (!leaf.mList) {
    leaf.mList = aNow;
  }
}

void
drain_table::OnReply(const leaf_id& aLeaf,
                     const boot_id& aBoot,
                     bool aDraining,
                     instant aNow)
{
  entry& leaf = mLeaves[aLeaf];
  const bool sameLife = leaf.mBoot == aBoot;
  leaf.mRefused.reset();
  leaf.mBoot = aBoot;
  leaf.mBootSeen = aNow;
  if (aDraining) {
    leaf.mReply = aNow;
    return;
  }
  const bool settled = leaf.mReply && aNow - *leaf.mReply >= kReorderTime;
  if (!sameLife || settled) {
    leaf.mReply.reset();
  }
}

void
drain_table::OnRefused(const leaf_id& aLeaf, instant aNow)
{
  mLeaves[aLeaf].mRefused = aNow;
}

void
drain_table::Merge(const drain_mark& aMark, instant aNow)
{
  if (aMark.mSignal == drain_signal::List) {
    return;
  }
  entry& leaf = mLeaves[aMark.mLeaf];
  const instant seen = aNow - aMark.mAge;
  const bool fresher = leaf.mBoot.Empty() || seen > leaf.mBootSeen;
  if (aMark.mSignal == drain_signal::Refused) {
    if (fresher && (!leaf.mRefused || *leaf.mRefused < seen)) {
      leaf.mRefused = seen;
    }
    return;
  }
  // An older mark of the same life stands against a reply that may have
  // overtaken it, and of another life against nothing.
  const bool reordered =
    leaf.mBoot == aMark.mBoot && leaf.mBootSeen - seen < kReorderTime;
  if (fresher || reordered) {
    leaf.mReply = std::max(leaf.mReply.value_or(seen), seen);
    leaf.mBoot = aMark.mBoot;
    leaf.mBootSeen = std::max(leaf.mBootSeen, seen);
  }
}

void
drain_table::OnProbe(const leaf_id& aLeaf, instant aNow)
{
  mLeaves[aLeaf].mProbed = aNow;
}

void
drain_table::Forget(const leaf_id& aLeaf)
{
  mLeaves.erase(aLeaf);
}

bool
drain_table::ProbeDue(const entry& aEntry, instant aNow) const
{
  const model::duration pause = aEntry.mReply ? kReplyProbePause : kProbePause;
  instant last = aEntry.mReply ? *aEntry.mReply : *aEntry.mRefused;
  if (aEntry.mProbed) {
    last = std::max(last, *aEntry.mProbed);
  }
  return aNow - last >= pause;
}

leaf_use
drain_table::Use(const leaf_id& aLeaf, instant aNow) const
{
  const auto found = mLeaves.find(aLeaf);
  if (found == mLeaves.end()) {
    return leaf_use::Usable;
  }
  const entry& leaf = found->second;
  if (leaf.mReply || leaf.mRefused) {
    return ProbeDue(leaf, aNow) ? leaf_use::Probe : leaf_use::Leaving;
  }
  return leaf.mList ? leaf_use::Leaving : leaf_use::Usable;
}

std::vector<drain_mark>
drain_table::Marks(instant aNow) const
{
  std::vector<drain_mark> out;
  for (const auto& [id, leaf] : mLeaves) {
    if (leaf.mList) {
      out.push_back({ id, drain_signal::List, {}, aNow - *leaf.mList });
    }
    if (leaf.mReply) {
      out.push_back(
        { id, drain_signal::Reply, leaf.mBoot, aNow - *leaf.mReply });
    }
    if (leaf.mRefused) {
      out.push_back({ id, drain_signal::Refused, {}, aNow - *leaf.mRefused });
    }
  }
  return out;
}

} // namespace monsooncroft::policy
