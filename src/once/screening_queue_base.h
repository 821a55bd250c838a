/**
 * @file screening_queue_base.h
 * Runs one request at a time for each key, at the key's home instance.
 */
#ifndef MONSOONCROFT_ONCE_SCREENING_QUEUE_BASE_H
#define MONSOONCROFT_ONCE_SCREENING_QUEUE_BASE_H

#include "model/time_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::once {

/**
 * Number of a request that waits for its turn, assigned by the queue's user.
 */
using screening_id = std::uint64_t;

/** Result of Enqueue. */
enum class enqueue_result
{
  Proceed, ///< The request has its turn: call quarantine::Admit again, then
           ///< send.
  Wait,    ///< ReleaseTurn or RemoveExpired will return the request.
  Full,    ///< Not run: too many requests are waiting.
};

/**
 * Serialises requests that are screened. For every request that got its turn,
 * ReleaseTurn must be called, also when the request was refused. Not thread
 * safe.
 */
class screening_queue
{
public:
  explicit screening_queue(std::size_t aMaxWaiting);

  enqueue_result Enqueue(const std::string& aKey,
                         screening_id aId,
                         model::instant aDeadline);
  /**
   * Ends the turn of the current request.
   * @return The request that has its turn now.
   */
  std::optional<screening_id> ReleaseTurn(const std::string& aKey);
  /**
   * Removes the requests whose deadline passed while they waited.
   * @return The removed requests; they are not run.
   */
  std::vector<screening_id> RemoveExpired(model::instant aNow);

  std::size_t WaitingCount() const { return mWaiting; }

private:
  struct waiting_request
  {
    screening_id mId = 0;
    model::instant mDeadline;
  };

  std::size_t mMaxWaiting;
  std::size_t mWaiting = 0;
  std::map<std::string, std::deque<waiting_request>>
    mQueues; ///< Waiting requests by key; a key is present while a request has
             ///< its turn.
};

} // namespace monsooncroft::once

#endif
