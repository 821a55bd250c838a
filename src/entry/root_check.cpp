/**
 * @file root_check.cpp
 * What the root says to a query before it runs: known or not, within limits.
 */
#include "entry/clock_func.h"
#include "entry/manifest_table_base.h"
#include "entry/root_service_base.h"
#include "ops/metrics_base.h"
#include "policy/answer_func.h"

#include <algorithm>

namespace monsooncroft::entry {

std::optional<bad_query>
root_service::Check(const model::query& aQuery) const
{
  const model::manifest_ptr manifest = mParts.mManifests.Current();
  if (!manifest) {
    return std::nullopt;
  }
  const model::service* service = manifest->FindService(aQuery.mService);
  if (service == nullptr) {
    return bad_query{ "service", "not declared" };
  }
  const model::contract* contract = service->FindContract(aQuery.mKind);
  if (contract == nullptr) {
    return bad_query{ "kind", "not declared" };
  }
  if (manifest->FindWorkspace(aQuery.mWorkspace) == nullptr) {
    return bad_query{ "tenant", "not declared" };
  }
  if (!contract->mIdempotent && !aQuery.mIssuedAt) {
    return bad_query{ "issued_at_ms", "required for this kind" };
  }
  return std::nullopt;
}

std::optional<model::contract>
root_service::ContractOf(const model::query& aQuery) const
{
  const model::manifest_ptr manifest = mParts.mManifests.Current();
  const model::service* service =
    manifest ? manifest->FindService(aQuery.mService) : nullptr;
  const model::contract* contract =
    service == nullptr ? nullptr : service->FindContract(aQuery.mKind);
  return contract == nullptr ? std::nullopt : std::optional(*contract);
}

std::optional<model::answer>
root_service::Limit(const model::query& aQuery)
{
  {
    const std::lock_guard lock(mMutex);
    if (mLimiter.TryTake(aQuery.mWorkspace, Now())) {
      return std::nullopt;
    }
  }
  const model::manifest_ptr manifest = mParts.mManifests.Current();
  model::answer answer = policy::NotRunAnswer(
    aQuery.mRequest,
    manifest ? manifest->FindService(aQuery.mService) : nullptr,
    "tenant_limit");
  answer.mOverLimit = true;
  answer.mManifest = manifest ? manifest->Version() : 0;
  mParts.mMetrics.Count("tenant_limited");
  return answer;
}

void
root_service::OnMembers(int aLive)
{
  const std::lock_guard lock(mMutex);
  mLimiter.SetInstanceCount(std::max(1, aLive));
}

void
root_service::OnManifest(const model::manifest& aManifest)
{
  const std::lock_guard lock(mMutex);
  mLimiter.SetWorkspaces(aManifest.Workspaces());
}

} // namespace monsooncroft::entry
