/**
 * @file status_page_func.h
 * What /v1/status and /metrics show of an instance.
 */
#ifndef MONSOONCROFT_ENTRY_STATUS_PAGE_FUNC_H
#define MONSOONCROFT_ENTRY_STATUS_PAGE_FUNC_H

#include "cluster/member_view_base.h"
#include "model/identifier_type.h"
#include "model/manifest_base.h"
#include "policy/drain_table_base.h"
#include "store/platform_client_base.h"

#include <string>
#include <vector>

namespace monsooncroft::ops {
class metrics;
}

namespace monsooncroft::entry {

/** An instance at one moment. */
struct status_view
{
  model::instance_id mInstance;
  model::data_centre_id mDataCentre;
  model::manifest_version mManifest = 0; ///< In force; 0: none.
  bool mReady = false;
  bool mStopping = false;
  std::vector<std::string> mAlarms;
  int mCallersInFlight = 0;
  int mPeersInFlight = 0;
  std::size_t mLeafConnections = 0;
  store::platform_calls mPlatform;
  cluster::member_view_ptr mMembers; ///< Null before the first view.
  std::vector<policy::drain_mark> mLeaving;
  std::size_t mQuarantine = 0; ///< Marks of requests that killed leaves.
};

/** JSON of /v1/status. */
std::string
StatusPage(const status_view& aView, const ops::metrics& aMetrics);

/** Prometheus text of /metrics. */
std::string
MetricsPage(const status_view& aView, const ops::metrics& aMetrics);

} // namespace monsooncroft::entry

#endif
