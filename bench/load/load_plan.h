/**
 * @file load_plan.h
 * What load is sent where.
 */
#ifndef MONSOONCROFT_BENCH_LOAD_LOAD_PLAN_H
#define MONSOONCROFT_BENCH_LOAD_LOAD_PLAN_H

#include "model/endpoint_type.h"
#include "model/time_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsooncroft::bench {

/** Queries of one kind and tenant. */
struct load_flow
{
  std::string mName;                  ///< Names the flow in the report.
  std::vector<std::string> mServices; ///< One is drawn for each query.
  std::string mKind;
  std::string mTenant;
  double mRatePerSecond = 0;      ///< Mean of the Poisson arrivals.
  std::string mBody;              ///< Body of every query, as JSON.
  model::duration mStart{ 0 };    ///< First possible arrival.
  model::duration mDeadline{ 0 }; ///< Asked for; 0: the contract's.
};

/** A whole run. */
struct load_plan
{
  std::uint64_t mSeed = 1;
  model::duration mLength{ 0 };          ///< Arrivals end then.
  model::duration mWarmUp{ 0 };          ///< Arrivals before are not counted.
  model::duration mTimeout{ 0 };         ///< Longest wait for one answer.
  std::vector<model::endpoint> mTargets; ///< Caller addresses.
  int mIoThreads = 2;
  std::vector<load_flow> mFlows;
};

/**
 * Reads a plan.
 * @throws std::runtime_error or nlohmann::json::exception if it is wrong.
 */
load_plan
ParsePlan(const std::string& aText);

} // namespace monsooncroft::bench

#endif
