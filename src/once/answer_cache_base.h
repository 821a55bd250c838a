/**
 * @file answer_cache_base.h
 * Running and finished non-idempotent requests at their home instance.
 */
#ifndef MONSOONCROFT_ONCE_ANSWER_CACHE_BASE_H
#define MONSOONCROFT_ONCE_ANSWER_CACHE_BASE_H

#include "model/answer_type.h"
#include "once/request_key_type.h"

#include <chrono>
#include <list>
#include <map>
#include <optional>

namespace monsooncroft::once {

/** Bounds of the memory. */
struct answer_cache_settings
{
  std::size_t mMaxRunning = 4096;
  std::size_t mMaxFinished = 16384;
  std::size_t mMaxBytes = std::size_t(16) << 20U; ///< Of stored answers.
  std::chrono::milliseconds mMaxAge{ 240000 };    ///< Of stored answers.
};

/** What a send of a request meets. */
enum class arrival_kind
{
  FirstSend, ///< Not known here: offer it to the record, then Finish it.
  Running,   ///< Another send of it runs here: wait for its answer.
  Stored,    ///< It has ended: give the stored answer.
  IdReused,  ///< The id stands for another body: unknown, reason "id_reused".
  Full,      ///< Too many run: not run here; other sends may have run.
};

/** Answer to Arrive. */
struct arrival_result
{
  arrival_kind mKind = arrival_kind::FirstSend;
  std::optional<model::answer> mAnswer; ///< If Stored.
};

/** The requests that this incarnation runs or ran. Bounded. Not thread safe. */
class answer_cache
{
public:
  explicit answer_cache(answer_cache_settings aSettings);

  /** A send of a request came in. */
  arrival_result Register(const request_hash& aRequest,
                          const content_hash& aContent,
                          model::instant aNow);

  /** As Arrive for a request that must not start: never First, but nothing. */
  std::optional<arrival_result> Find(const request_hash& aRequest,
                                     const content_hash& aContent,
                                     model::instant aNow);

  /**
   * The request that arrived First has its answer; give it to those who wait.
   * An answer that it did not run is not kept: a later send is a new try.
   */
  void Finish(const request_hash& aRequest,
              const model::answer& aAnswer,
              model::instant aNow);

  std::size_t RunningCount() const
  {
    return mRequests.size() - mFinishedOrder.size();
  }
  std::size_t FinishedCount() const { return mFinishedOrder.size(); }
  std::size_t StoredBytes() const { return mBytes; } ///< Of stored answers.

private:
  struct request_state
  {
    content_hash mContent;
    std::optional<model::answer> mAnswer; ///< Empty while it runs.
    model::instant mFinishedAt;
  };

  void Evict(model::instant aNow);

  answer_cache_settings mSettings;
  std::map<request_hash, request_state> mRequests;
  std::list<request_hash> mFinishedOrder; ///< Finished ones, oldest first.
  std::size_t mBytes = 0;
};

} // namespace monsooncroft::once

#endif
