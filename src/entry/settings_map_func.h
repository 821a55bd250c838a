/**
 * @file settings_map_func.h
 * From the settings to the options of each part.
 */
#ifndef MONSOONCROFT_ENTRY_SETTINGS_MAP_FUNC_H
#define MONSOONCROFT_ENTRY_SETTINGS_MAP_FUNC_H

#include "cluster/cluster_core_type.h"
#include "entry/leaf_gate_base.h"
#include "entry/shared_budget_base.h"
#include "net/http_server_base.h"
#include "once/quarantine_type.h"
#include "once/record_type.h"
#include "ops/log_base.h"
#include "store/platform_client_base.h"

namespace monsooncroft::config {
class settings;
}

namespace monsooncroft::entry {

ops::log_level
LogLevelOf(const config::settings& aSettings);
gate_options
GateOptionsOf(const config::settings& aSettings);
/** Owners and roots share the one budget for extra attempts. */
hedge_options
LeafHedgeOf(const config::settings& aSettings);
hedge_options
RootHedgeOf(const config::settings& aSettings);
store::platform_options
PlatformOptionsOf(const config::settings& aSettings);
once::record_settings
RecordSettingsOf(const config::settings& aSettings);
once::quarantine_settings
QuarantineSettingsOf(const config::settings& aSettings);
cluster::cluster_options
ClusterOptionsOf(const config::settings& aSettings);
net::http_server_options
CallerServerOf(const config::settings& aSettings);
net::http_server_options
PeerServerOf(const config::settings& aSettings);

} // namespace monsooncroft::entry

#endif
