/**
 * @file execution_log.cpp
 * The log of runs.
 */
#include "standin/execution_log.h"

namespace monsooncroft::standin {

namespace {

using nlohmann::json;

constexpr std::size_t kMostNamed = 100; ///< Repeats named in a summary.

json
ToJson(const shard_runs& aRuns)
{
  return { { "started", aRuns.mStarted },
           { "finished", aRuns.mFinished },
           { "cancelled", aRuns.mCancelled },
           { "idempotent", aRuns.mIdempotent } };
}

} // namespace

void
execution_log::Start(const std::string& aRequest,
                     const std::string& aShard,
                     bool aIdempotent)
{
  const std::lock_guard lock(mMutex);
  shard_runs& runs = mRuns[aRequest][aShard];
  ++runs.mStarted;
  runs.mIdempotent = aIdempotent;
}

void
execution_log::End(const std::string& aRequest,
                   const std::string& aShard,
                   bool aCancelled)
{
  const std::lock_guard lock(mMutex);
  shard_runs& runs = mRuns[aRequest][aShard];
  ++(aCancelled ? runs.mCancelled : runs.mFinished);
}

json
execution_log::Of(const std::string& aRequest) const
{
  const std::lock_guard lock(mMutex);
  json shards = json::object();
  int total = 0;
  const auto found = mRuns.find(aRequest);
  if (found != mRuns.end()) {
    for (const auto& [shard, runs] : found->second) {
      shards[shard] = ToJson(runs);
      total += runs.mStarted;
    }
  }
  return { { "request_id", aRequest },
           { "executions", shards },
           { "total", total } };
}

json
execution_log::Summary() const
{
  const std::lock_guard lock(mMutex);
  std::size_t executions = 0;
  std::size_t repeated = 0;
  std::size_t repeatedNotIdempotent = 0;
  json named = json::array();
  for (const auto& [request, shards] : mRuns) {
    for (const auto& [shard, runs] : shards) {
      executions += static_cast<std::size_t>(runs.mStarted);
      if (runs.mStarted <= 1) {
        continue;
      }
      ++repeated;
      repeatedNotIdempotent += runs.mIdempotent ? 0 : 1;
      if (!runs.mIdempotent && named.size() < kMostNamed) {
        named.push_back({ { "request_id", request },
                          { "shard", shard },
                          { "started", runs.mStarted } });
      }
    }
  }
  return { { "requests", mRuns.size() },
           { "executions", executions },
           { "repeated", repeated },
           { "repeated_not_idempotent", repeatedNotIdempotent },
           { "named", named } };
}

} // namespace monsooncroft::standin
