/**
 * @file load_report.h
 * Tallies of a run.
 */
#ifndef MONSOONCROFT_BENCH_LOAD_LOAD_REPORT_H
#define MONSOONCROFT_BENCH_LOAD_LOAD_REPORT_H

#include "bench/load/latency_histogram.h"
#include "bench/load/load_plan.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace monsooncroft::bench {

/** The end of one query, as its caller sees it. */
struct query_end
{
  std::size_t mFlow = 0;     ///< Index in load_plan::mFlows.
  std::string mRequest;      ///< Its request id.
  std::string mStatus;       ///< Final status, or "lost" or "http_NNN".
  std::string mReason;       ///< As in the answer.
  double mCoverage = 0;      ///< Share of names answered.
  model::duration mDue{ 0 }; ///< From the start of the run.
  double mLatencyMs = 0;     ///< From the due time.
  double mServiceMs = 0;     ///< From the true start of sending.
};

/** Gathers ends. Thread safe. */
class load_report
{
public:
  explicit load_report(const load_plan& aPlan);

  void Add(const query_end& aEnd);
  void AddRepeat(); ///< A query went on to another target.
  void AddLateness(double aMilliseconds); ///< Of the generator itself.

  std::string ToJson() const;

private:
  struct tally
  {
    latency_histogram mAll;      ///< Every query.
    latency_histogram mAnswered; ///< Complete and partial ones.
    latency_histogram mRefused;  ///< From sending to not_run.
    double mCoverage = 0;        ///< Sum over all but refused ones.
    std::map<std::string, unsigned long> mStatuses;
    std::map<std::string, unsigned long> mReasons;
    std::vector<std::string> mRefusedIds;
    std::vector<unsigned long> mGoodEachSecond; ///< By due time.
  };

  const load_plan& mPlan;
  mutable std::mutex mMutex;
  std::vector<tally> mTallies; ///< One for each flow.
  latency_histogram mLateness;
  unsigned long mRepeats = 0;
};

} // namespace monsooncroft::bench

#endif
