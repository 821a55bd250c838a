/**
 * @file status_page.cpp
 * Pages for operators.
 */
#include "entry/status_page_func.h"

#include "ops/metrics_base.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace monsooncroft::entry {

namespace {

using nlohmann::ordered_json;

const char*
Word(cluster::member_state aState)
{
  switch (aState) {
    case cluster::member_state::Alive:
      return "alive";
    case cluster::member_state::Suspect:
      return "suspect";
    case cluster::member_state::Leaving:
      return "leaving";
    case cluster::member_state::Dead:
      return "dead";
    case cluster::member_state::End:
      break;
  }
  return "unknown";
}

const char*
Word(policy::drain_signal aSignal)
{
  switch (aSignal) {
    case policy::drain_signal::List:
      return "list";
    case policy::drain_signal::Reply:
      return "reply";
    case policy::drain_signal::Refused:
      return "refused";
  }
  return "unknown";
}

ordered_json
Members(const cluster::member_view_ptr& aView)
{
  ordered_json rows = ordered_json::array();
  if (!aView) {
    return rows;
  }
  for (const auto& [dataCentre, members] : aView->Lists()) {
    for (const cluster::member& member : *members) {
      rows.push_back({ { "instance", member.mId.Value() },
                       { "data_centre", dataCentre.Value() },
                       { "state", Word(member.mState) } });
    }
  }
  return rows;
}

ordered_json
Leaving(const std::vector<policy::drain_mark>& aMarks)
{
  ordered_json rows = ordered_json::array();
  for (const policy::drain_mark& mark : aMarks) {
    rows.push_back(
      { { "leaf", mark.mLeaf.Value() }, { "signal", Word(mark.mSignal) } });
  }
  return rows;
}

void
Gauge(std::ostream& aOut, const char* aName, long aValue)
{
  aOut << "monsooncroft_" << aName << " " << aValue << "\n";
}

} // namespace

std::string
StatusPage(const status_view& aView, const ops::metrics& aMetrics)
{
  ordered_json out;
  out["instance"] = aView.mInstance.Value();
  out["data_centre"] = aView.mDataCentre.Value();
  out["manifest"] = aView.mManifest;
  out["ready"] = aView.mReady;
  out["stopping"] = aView.mStopping;
  out["alarms"] = aView.mAlarms;
  out["in_flight"] = aView.mCallersInFlight;
  out["peers_in_flight"] = aView.mPeersInFlight;
  out["leaf_connections"] = aView.mLeafConnections;
  out["platform_calls"] = { { "reads", aView.mPlatform.mReads },
                            { "writes", aView.mPlatform.mWrites },
                            { "withheld", aView.mPlatform.mWithheld },
                            { "failed", aView.mPlatform.mFailed } };
  out["members"] = Members(aView.mMembers);
  out["leaving"] = Leaving(aView.mLeaving);
  out["quarantine_marks"] = aView.mQuarantine;
  out["metrics"] = ordered_json::parse(aMetrics.Summary());
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string
MetricsPage(const status_view& aView, const ops::metrics& aMetrics)
{
  std::ostringstream out;
  Gauge(out, "manifest_version", static_cast<long>(aView.mManifest));
  Gauge(out, "ready", aView.mReady ? 1 : 0);
  Gauge(out, "stopping", aView.mStopping ? 1 : 0);
  Gauge(out, "alarms", static_cast<long>(aView.mAlarms.size()));
  Gauge(out, "callers_in_flight", aView.mCallersInFlight);
  Gauge(out, "peers_in_flight", aView.mPeersInFlight);
  Gauge(out, "leaf_connections", static_cast<long>(aView.mLeafConnections));
  Gauge(out, "leaving_leaves", static_cast<long>(aView.mLeaving.size()));
  Gauge(out, "quarantine_marks", static_cast<long>(aView.mQuarantine));
  Gauge(out,
        "members",
        aView.mMembers ? static_cast<long>(aView.mMembers->Count()) : 0);
  Gauge(out, "platform_reads_total", aView.mPlatform.mReads);
  Gauge(out, "platform_writes_total", aView.mPlatform.mWrites);
  Gauge(out, "platform_withheld_total", aView.mPlatform.mWithheld);
  Gauge(out, "platform_failed_total", aView.mPlatform.mFailed);
  return out.str() + aMetrics.Exposition();
}

} // namespace monsooncroft::entry
