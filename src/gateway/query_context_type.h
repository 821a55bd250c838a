/**
 * @file query_context_type.h
 * Components and settings that the execution of queries uses.
 */
#ifndef MONSOONCROFT_GATEWAY_QUERY_CONTEXT_TYPE_H
#define MONSOONCROFT_GATEWAY_QUERY_CONTEXT_TYPE_H

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::once {
class quarantine;
}

namespace monsooncroft::serving {
class retry_budget;
}

namespace monsooncroft::gateway {

class event_loop;
class leaf_table;
class permit_client;
class relay_client;
class workspace_admission;
struct header_names;
struct query_settings;

/** Components and settings that each query_execution uses. */
struct query_context
{
  event_loop& mLoop;
  const header_names& mHeaderNames;
  leaf_table& mLeaves;
  permit_client& mPermits;
  relay_client& mRelay;
  serving::retry_budget& mRetryBudget;
  const once::quarantine& mQuarantine;
  const query_settings& mSettings;
  const ops::log& mLog;
  ops::metrics& mMetrics;
  /** Quotas of workspaces; null: there are none. */
  workspace_admission* mAdmission = nullptr;
};

} // namespace monsooncroft::gateway

#endif
