/**
 * @file crash_detector.cpp
 * Settling suspicions by what the leaf does next.
 */
#include "once/crash_detector_base.h"

#include <utility>

namespace monsooncroft::once {

namespace {

/** Longest time that an unsettled suspicion holds a request back. */
constexpr std::chrono::seconds kOpenFor{ 30 };

} // namespace

crash_detector::crash_detector(model::leaf_id aLeaf)
  : mLeaf(std::move(aLeaf))
{
}

suspicion
crash_detector::OnConnectionLost(const content_hash& aContent,
                                 const model::service_id& aService,
                                 model::instant aNow)
{
  // All that were in flight at this life of the leaf name the same death,
  // whichever instance saw it.
  suspicion out{ aContent, HashCrash(mLeaf, mBootId), aService };
  mOpenSuspicions.push_back({ out, aNow });
  return out;
}

settled_suspicions
crash_detector::OnConnectionRefused()
{
  settled_suspicions out;
  for (open_suspicion& open : std::exchange(mOpenSuspicions, {})) {
    out.mConfirmed.push_back(std::move(open.mSuspicion));
  }
  return out;
}

settled_suspicions
crash_detector::OnBootId(const std::string& aBoot)
{
  settled_suspicions out;
  const bool another = !mBootId.empty() && aBoot != mBootId;
  for (open_suspicion& open : std::exchange(mOpenSuspicions, {})) {
    auto& list = another ? out.mConfirmed : out.mDismissed;
    list.push_back(std::move(open.mSuspicion));
  }
  mBootId = aBoot;
  return out;
}

settled_suspicions
crash_detector::OnTimer(model::instant aNow)
{
  settled_suspicions out;
  std::vector<open_suspicion> kept;
  for (open_suspicion& open : mOpenSuspicions) {
    if (open.mSince + kOpenFor <= aNow) {
      out.mDismissed.push_back(std::move(open.mSuspicion));
    } else {
      kept.push_back(std::move(open));
    }
  }
  mOpenSuspicions = std::move(kept);
  return out;
}

} // namespace monsooncroft::once
