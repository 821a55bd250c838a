/**
 * @file metrics_base.h
 * Counters, and histograms for each service, kind and tenant.
 */
#ifndef MONSOONCROFT_OPS_METRICS_BASE_H
#define MONSOONCROFT_OPS_METRICS_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"

#include <map>
#include <memory>
#include <string>

namespace monsooncroft::ops {

/** What a query's figures are kept by. */
struct metrics_key
{
  model::service_id mService;
  model::kind_id mKind;
  model::workspace_id mWorkspace;

  bool operator==(const metrics_key&) const = default;
  auto operator<=>(const metrics_key&) const = default;
};

/** One finished query's figures. */
struct query_measurements
{
  model::duration mLatency{ 0 }; ///< From arrival to the answer.
  double mCoverage = 0;          ///< Fraction of names answered.
  int mAttempts = 0;             ///< Attempts sent to leaves.
  int mMinAttempts =
    0;                 ///< Shards asked: the attempts that are needed at least.
  std::string mStatus; ///< Final status on the wire.
};

/** Label names and values of a counter. */
using metric_labels = std::map<std::string, std::string>;

/** All figures of an instance. Thread safe; its lock is innermost. */
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
   * @param aName Such as "hedges_sent"; made on the first use.
   */
  void Count(const char* aName, long aBy = 1);

  /**
   * Adds to one of a counter's series. A counter keeps a bounded number of
   * them; further ones are counted together with the value "other".
   * @param aName Such as "attempt_ends".
   * @param aLabels What sets the series apart.
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
