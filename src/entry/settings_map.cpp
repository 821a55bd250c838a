/**
 * @file settings_map.cpp
 * From the settings to the options of each part.
 */
#include "entry/settings_map_func.h"

#include "config/settings_base.h"

namespace monsooncroft::entry {

namespace {

using config::setting;

constexpr double kPercent = 100.0;
constexpr std::size_t kMaxPeerBodyBytes = 16UL * 1024 * 1024;

/** Part of the hedging budget that roots spend; owners spend the rest. */
double
RootPart(const config::settings& aSettings)
{
  return aSettings.Integer(setting::OwnershipReplicas) == 0 ? 0.0 : 0.5;
}

hedge_options
HedgeOf(const config::settings& aSettings, double aPart)
{
  hedge_options options;
  options.mFraction = aPart * aSettings.Number(setting::HedgeBudget) / kPercent;
  options.mQuantile = aSettings.Number(setting::HedgeQuantile) / kPercent;
  options.mFixed = aSettings.Milliseconds(setting::HedgeFixed);
  return options;
}

} // namespace

ops::log_level
LogLevelOf(const config::settings& aSettings)
{
  const std::string& level = aSettings.Text(setting::LogLevel);
  if (level == "trace" || level == "debug") {
    return ops::log_level::Debug;
  }
  if (level == "info") {
    return ops::log_level::Info;
  }
  return level == "warn" ? ops::log_level::Warning : ops::log_level::Error;
}

gate_options
GateOptionsOf(const config::settings& aSettings)
{
  gate_options options;
  options.mAdmission.mMode = aSettings.Boolean(setting::AdmissionFifo)
                               ? policy::admission_mode::Fifo
                               : policy::admission_mode::Weighted;
  options.mAdmission.mQueueLimit =
    static_cast<std::size_t>(aSettings.Integer(setting::AdmissionQueueLimit));
  return options;
}

hedge_options
LeafHedgeOf(const config::settings& aSettings)
{
  return HedgeOf(aSettings, 1 - RootPart(aSettings));
}

hedge_options
RootHedgeOf(const config::settings& aSettings)
{
  return HedgeOf(aSettings, RootPart(aSettings));
}

store::platform_options
PlatformOptionsOf(const config::settings& aSettings)
{
  store::platform_options options;
  options.mAddresses = aSettings.Endpoints(setting::PlatformAddresses);
  options.mTimeout = aSettings.Milliseconds(setting::PlatformTimeout);
  options.mShare.mReadsPerSecond = aSettings.Number(setting::PlatformReads);
  options.mShare.mWritesPerSecond = aSettings.Number(setting::PlatformWrites);
  return options;
}

once::record_settings
RecordSettingsOf(const config::settings& aSettings)
{
  once::record_settings settings;
  settings.mWindow = aSettings.Milliseconds(setting::RecordWindow);
  settings.mWriteInterval = aSettings.Milliseconds(setting::RecordBatch);
  return settings;
}

once::quarantine_settings
QuarantineSettingsOf(const config::settings& aSettings)
{
  once::quarantine_settings settings;
  settings.mScreening = aSettings.Boolean(setting::QuarantineScreen)
                          ? once::screening_mode::Always
                          : once::screening_mode::AfterCrash;
  return settings;
}

cluster::cluster_options
ClusterOptionsOf(const config::settings& aSettings)
{
  cluster::cluster_options options;
  options.mAntiEntropyPeriod = aSettings.Milliseconds(setting::GossipPeriod);
  return options;
}

net::http_server_options
CallerServerOf(const config::settings& aSettings)
{
  net::http_server_options options;
  options.mListen = aSettings.Endpoint(setting::ListenCaller);
  options.mThreads =
    static_cast<unsigned>(aSettings.Integer(setting::WorkersCaller));
  options.mMaxBodyBytes =
    static_cast<std::size_t>(aSettings.Integer(setting::QueryBodyLimit));
  return options;
}

net::http_server_options
PeerServerOf(const config::settings& aSettings)
{
  net::http_server_options options;
  options.mListen = aSettings.Endpoint(setting::ListenPeer);
  options.mThreads =
    static_cast<unsigned>(aSettings.Integer(setting::WorkersPeer));
  options.mMaxBodyBytes = kMaxPeerBodyBytes;
  return options;
}

} // namespace monsooncroft::entry
