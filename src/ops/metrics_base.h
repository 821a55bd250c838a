/**
 * @file metrics_base.h
 * Counters, and histograms per service, kind and workspace.
 */
#ifndef MONSOONCROFT_OPS_METRICS_BASE_H
#define MONSOONCROFT_OPS_METRICS_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"

#include <map>
#include <memory>
#include <string>

namespace monsooncroft::ops {

/** Identifies the series that a query is recorded in. */
struct metrics_key
{
  model::service_id mService;
  model::kind_id mKind;
  model::workspace_id mWorkspace;

  bool operator==(const metrics_key&) const = default;
  auto operator<=>(const metrics_key&) const = default;
};

/** Measurements of one finished query. */
struct query_measurements
{
  model::duration mLatency{ 0 }; ///< From arrival to answer.
  double mCoverage = 0;          ///< Fraction of names answered.
  int mAttempts = 0;             ///< Attempts sent to leaves.
  int mMinAttempts = 0; ///< Shards queried; the fewest attempts possible.
  std::string mStatus;  ///< Final status on the wire.
};

/** Label names and values of a counter. */
using metric_labels = std::map<std::string, std::string>;

/** Metrics of one instance. Thread safe; takes no other lock under its own. */
class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;
  metrics(metrics&&) = delete;
  metrics& operator=(metrics&&) = delete;

  void RecordQuery(const metrics_key& aKey,
                   const query_measurements& aMeasurements);

  /**
   * Adds to a counter.
   * @param aName Name, such as "hedges_sent"; the counter is created on first
   * use.
   */
  void Count(const char* aName, long aBy = 1);

  /**
   * Adds to one series of a labelled counter. The number of series is bounded;
   * further ones are counted together under the label value "other".
   * @param aName Name, such as "attempt_ends".
   * @param aLabels Labels of the series.
   */
  void Count(const char* aName, const metric_labels& aLabels, long aBy = 1);

  std::string Exposition() const; ///< Prometheus text format.
  std::string Summary() const;    ///< JSON for /v1/status.

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace monsooncroft::ops

#endif
