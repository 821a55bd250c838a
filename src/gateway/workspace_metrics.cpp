/**
 * @file workspace_metrics.cpp
 * Counters by workspace.
 */
#include "gateway/workspace_metrics_func.h"

#include "ops/metrics_base.h"

namespace monsooncroft::gateway {

void
CountRequest(ops::metrics& aMetrics, const std::string& aWorkspace)
{
  aMetrics.Count("workspace_requests", { { "workspace", aWorkspace } });
}

void
CountRefusal(ops::metrics& aMetrics,
             const std::string& aWorkspace,
             int aStatus,
             const char* aReason)
{
  if (aStatus == 429) {
    aMetrics.Count("workspace_over_quota", { { "workspace", aWorkspace } });
  } else if (aStatus == 503) {
    aMetrics.Count("workspace_refusals",
                   { { "workspace", aWorkspace }, { "reason", aReason } });
  }
}

} // namespace monsooncroft::gateway
