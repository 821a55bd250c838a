/**
 * @file drain_table.cpp
 * Drain signals of leaves.
 */
#include "policy/drain_table_base.h"

#include <algorithm>

namespace monsooncroft::policy {

using model::instant;
using model::leaf_id;

void
drain_table::OnInstanceList(const leaf_id& aLeaf, bool aLeaving, instant aNow)
{
  leaf_signals& leaf = mLeaves[aLeaf];
  if (!aLeaving) {
    leaf.mListedLeavingSince.reset();
  } else if (!leaf.mListedLeavingSince) {
    leaf.mListedLeavingSince = aNow;
  }
}

void
drain_table::OnReply(const leaf_id& aLeaf,
                     const boot_id& aBoot,
                     bool aDraining,
                     instant aNow)
{
  leaf_signals& leaf = mLeaves[aLeaf];
  const bool sameBoot = leaf.mBoot == aBoot;
  leaf.mLastRefusal.reset();
  leaf.mBoot = aBoot;
  leaf.mLastReply = aNow;
  if (aDraining) {
    leaf.mLastDrainingReply = aNow;
    return;
  }
  const bool reorderTimePassed =
    leaf.mLastDrainingReply && aNow - *leaf.mLastDrainingReply >= kReorderTime;
  if (!sameBoot || reorderTimePassed) {
    leaf.mLastDrainingReply.reset();
  }
}

void
drain_table::OnConnectionRefused(const leaf_id& aLeaf, instant aNow)
{
  mLeaves[aLeaf].mLastRefusal = aNow;
}

void
drain_table::Merge(const drain_mark& aMark, instant aNow)
{
  if (aMark.mSignal == drain_signal::List) {
    return;
  }
  leaf_signals& leaf = mLeaves[aMark.mLeaf];
  const instant seen = aNow - aMark.mAge;
  const bool newer = leaf.mBoot.Empty() || seen > leaf.mLastReply;
  if (aMark.mSignal == drain_signal::Refused) {
    if (newer && (!leaf.mLastRefusal || *leaf.mLastRefusal < seen)) {
      leaf.mLastRefusal = seen;
    }
    return;
  }
  // A mark that is older than the last reply counts only if its boot id is the
  // same and the reply may have overtaken it.
  const bool reordered =
    leaf.mBoot == aMark.mBoot && leaf.mLastReply - seen < kReorderTime;
  if (newer || reordered) {
    leaf.mLastDrainingReply =
      std::max(leaf.mLastDrainingReply.value_or(seen), seen);
    leaf.mBoot = aMark.mBoot;
    leaf.mLastReply = std::max(leaf.mLastReply, seen);
  }
}

void
drain_table::OnProbe(const leaf_id& aLeaf, instant aNow)
{
  mLeaves[aLeaf].mLastProbe = aNow;
}

void
drain_table::Forget(const leaf_id& aLeaf)
{
  mLeaves.erase(aLeaf);
}

bool
drain_table::ProbeDue(const leaf_signals& aEntry, instant aNow) const
{
  const model::duration pause =
    aEntry.mLastDrainingReply ? kDrainingProbePause : kProbePause;
  instant last = aEntry.mLastDrainingReply ? *aEntry.mLastDrainingReply
                                           : *aEntry.mLastRefusal;
  if (aEntry.mLastProbe) {
    last = std::max(last, *aEntry.mLastProbe);
  }
  return aNow - last >= pause;
}

leaf_eligibility
drain_table::Eligibility(const leaf_id& aLeaf, instant aNow) const
{
  const auto found = mLeaves.find(aLeaf);
  if (found == mLeaves.end()) {
    return leaf_eligibility::Usable;
  }
  const leaf_signals& leaf = found->second;
  if (leaf.mLastDrainingReply || leaf.mLastRefusal) {
    return ProbeDue(leaf, aNow) ? leaf_eligibility::Probe
                                : leaf_eligibility::Leaving;
  }
  return leaf.mListedLeavingSince ? leaf_eligibility::Leaving
                                  : leaf_eligibility::Usable;
}

std::vector<drain_mark>
drain_table::Marks(instant aNow) const
{
  std::vector<drain_mark> out;
  for (const auto& [id, leaf] : mLeaves) {
    if (leaf.mListedLeavingSince) {
      out.push_back(
        { id, drain_signal::List, {}, aNow - *leaf.mListedLeavingSince });
    }
    if (leaf.mLastDrainingReply) {
      out.push_back({ id,
                      drain_signal::Reply,
                      leaf.mBoot,
                      aNow - *leaf.mLastDrainingReply });
    }
    if (leaf.mLastRefusal) {
      out.push_back(
        { id, drain_signal::Refused, {}, aNow - *leaf.mLastRefusal });
    }
  }
  return out;
}

} // namespace monsooncroft::policy
