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

/** Limits of the answer cache. */
struct answer_cache_settings
{
  std::size_t mMaxRunning = 4096;
  std::size_t mMaxFinished = 16384;
  std::size_t mMaxBytes = std::size_t(16)
                          << 20U; ///< Maximum total size of stored answers.
  std::chrono::milliseconds mMaxAge{
    240000
  }; ///< Age at which a stored answer is evicted.
};

/** State in which a send finds its request. */
enum class arrival_kind
{
  FirstSend, ///< Request not known here: offer it to the record keeper, then
             ///< call Finish.
  Running,   ///< Another send of the request is running here: wait for its
             ///< answer.
  Stored,    ///< The request has finished: return the stored answer.
  IdReused,  ///< The request id was sent with another kind or body: status
             ///< unknown, reason "id_reused".
  Full, ///< Too many requests are running: this send is not run here; other
        ///< sends may have run.
};

/** Result of Register and Find. */
struct arrival_result
{
  arrival_kind mKind = arrival_kind::FirstSend;
  std::optional<model::answer>
    mAnswer; ///< The stored answer if mKind is Stored.
};

/**
 * The requests that this incarnation is running or has run, with their answers.
 * Bounded. Not thread safe.
 */
class answer_cache
{
public:
  explicit answer_cache(answer_cache_settings aSettings);

  /** Registers a send of a request and returns the state of the request. */
  arrival_result Register(const request_hash& aRequest,
                          const content_hash& aContent,
                          model::instant aNow);

  /**
   * Looks up a request that must not start here.
   * @return As from Register, but std::nullopt instead of FirstSend.
   */
  std::optional<arrival_result> Find(const request_hash& aRequest,
                                     const content_hash& aContent,
                                     model::instant aNow);

  /**
   * Stores the answer of a request for which Register returned FirstSend; the
   * caller passes the answer on to the sends that wait for it. A NotRun answer
   * is not stored: a later send is a new attempt.
   */
  void Finish(const request_hash& aRequest,
              const model::answer& aAnswer,
              model::instant aNow);

  std::size_t RunningCount() const
  {
    return mRequests.size() - mFinishedOrder.size();
  }
  std::size_t FinishedCount() const { return mFinishedOrder.size(); }
  std::size_t StoredBytes() const { return mBytes; } ///< Total size in bytes.

private:
  struct request_state
  {
    content_hash mContent;
    std::optional<model::answer>
      mAnswer; ///< Empty while the request is running.
    model::instant mFinishedAt;
  };

  void Evict(model::instant aNow);

  answer_cache_settings mSettings;
  std::map<request_hash, request_state> mRequests;
  std::list<request_hash> mFinishedOrder; ///< Finished requests, oldest first.
  std::size_t mBytes = 0;
};

} // namespace monsooncroft::once

#endif
