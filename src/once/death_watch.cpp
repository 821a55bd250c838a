/**
 * @file death_watch.cpp
 * Settling suspicions by what the leaf does next.
 */
#include "once/death_watch_base.h"

#include <utility>

namespace monsooncroft::once {

namespace {

/** Longest time that an unsettled suspicion holds a request back. */
constexpr std::chrono::seconds kOpenFor{ 30 };

} // namespace

death_watch::death_watch(model::leaf_id aLeaf)
  : mLeaf(std::move(aLeaf))
{
}

suspicion
death_watch::OnConnectionDied(const content_hash& aContent,
                              const model::service_id& aService,
                              model::instant aNow)
{
  // All that were in flight at this life of the leaf name the same death,
  // whichever instance saw it.
  suspicion out{ aContent, HashDeath(mLeaf, mBoot), aService };
  mOpen.push_back({ out, aNow });
  return out;
}

settled_suspicions
death_watch::OnRefused()
{
  settled_suspicions out;
  for (open_suspicion& open : std::exchange(mOpen, {})) {
    out.mConfirmed.push_back(std::move(open.mSuspicion));
  }
  return out;
}

settled_suspicions
death_watch::OnBoot(const std::string& aBoot)
{
  settled_suspicions out;
  const bool another = !mBoot.empty() && aBoot != mBoot;
  for (open_suspicion& open : std::exchange(mOpen, {})) {
    auto& list = another ? out.mConfirmed : out.mDismissed;
    list.push_back(std::move(open.mSuspicion));
  }
  mBoot = aBoot;
  return out;
}

settled_suspicions
death_watch::OnTimer(model::instant aNow)
{
  settled_suspicions out;
  std::vector<open_suspicion> kept;
  for (open_suspicion& open : mOpen) {
    if (open.mSince + kOpenFor <= aNow) {
      out.mDismissed.push_back(std::move(open.mSuspicion));
    } else {
      kept.push_back(std::move(open));
    }
  }
  mOpen = std::move(kept);
  return out;
}

} // namespace monsooncroft::once
