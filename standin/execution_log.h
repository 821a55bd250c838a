/**
 * @file execution_log.h
 * How often each request truly ran on each shard, over all leaves.
 */
#ifndef MONSOONCROFT_STANDIN_EXECUTION_LOG_H
#define MONSOONCROFT_STANDIN_EXECUTION_LOG_H

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace monsooncroft::standin {

/** Runs of one request on one shard. */
struct shard_runs
{
  int mStarted = 0;
  int mFinished = 0;
  int mCancelled = 0; ///< Ended early on the client's wish.
  bool mIdempotent = true;

  bool operator==(const shard_runs&) const = default;
};

/** The log. Thread safe; lock rank: innermost. */
class execution_log
{
public:
  /** Notes that a run begins. */
  void Start(const std::string& aRequest,
             const std::string& aShard,
             bool aIdempotent);
  /** Notes that a run has ended, whole or by being cancelled. */
  void End(const std::string& aRequest,
           const std::string& aShard,
           bool aCancelled);

  /** The runs of one request: {executions: {shard: runs}, total}. */
  nlohmann::json Of(const std::string& aRequest) const;

  /**
   * A summary: requests, executions, and which idempotent and which other
   * requests ran more than once on a shard.
   */
  nlohmann::json Summary() const;

private:
  mutable std::mutex mMutex;
  std::unordered_map<std::string, std::map<std::string, shard_runs>> mRuns;
};

} // namespace monsooncroft::standin

#endif
