/**
 * @file workspace_metrics_func.h
 * Counters by workspace.
 */
#ifndef MONSOONCROFT_GATEWAY_WORKSPACE_METRICS_FUNC_H
#define MONSOONCROFT_GATEWAY_WORKSPACE_METRICS_FUNC_H

#include <string>

namespace monsooncroft::ops {
class metrics;
}

namespace monsooncroft::gateway {

/** Counts a caller's request that was accepted. ops::metrics bounds the number
 * of series. */
void
CountRequest(ops::metrics& aMetrics, const std::string& aWorkspace);

/** Counts a refusal; responses with other statuses than 429 and 503 are not
 * refusals. */
void
CountRefusal(ops::metrics& aMetrics,
             const std::string& aWorkspace,
             int aStatus,
             const char* aReason);

} // namespace monsooncroft::gateway

#endif
