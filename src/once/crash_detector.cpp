/**
 * @file crash_detector.cpp
 * Confirms or dismisses suspicions by the next response of the leaf.
 */
#include "once/crash_detector_base.h"

#include <utility>

namespace monsooncroft::once {

namespace {

/** Maximum time for which an open suspicion holds a request back. */
constexpr std::chrono::seconds kMaxOpenTime{ 30 };

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
  // All requests in flight at this boot of the leaf name the same crash,
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
crash_detector::OnBootId(const std::string& aBootId)
{
  settled_suspicions out;
  const bool rebooted = !mBootId.empty() && aBootId != mBootId;
  for (open_suspicion& open : std::exchange(mOpenSuspicions, {})) {
    auto& target = rebooted ? out.mConfirmed : out.mDismissed;
    target.push_back(std::move(open.mSuspicion));
  }
  mBootId = aBootId;
  return out;
}

settled_suspicions
crash_detector::OnTimer(model::instant aNow)
{
  settled_suspicions out;
  std::vector<open_suspicion> stillOpen;
  for (open_suspicion& open : mOpenSuspicions) {
    if (open.mSince + kMaxOpenTime <= aNow) {
      out.mDismissed.push_back(std::move(open.mSuspicion));
    } else {
      stillOpen.push_back(std::move(open));
    }
  }
  mOpenSuspicions = std::move(stillOpen);
  return out;
}

} // namespace monsooncroft::once
