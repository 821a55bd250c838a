/**
 * @file screening_queue_base.h
 * One request at a time for each key, at the key's home instance.
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

/** A request that waits for its turn, as its holder numbers it. */
using screening_id = std::uint64_t;

/** What Enter came to. */
enum class enqueue_result
{
  Proceed, ///< Its turn: ask quarantine::Admit again, then send.
  Wait,    ///< Leave or Expire will name it.
  Full,    ///< Not run: too many wait.
};

/**
 * Serialises suspects. Whoever got its turn must Leave, also when it was
 * refused. Not thread safe.
 */
class screening_queue
{
public:
  explicit screening_queue(std::size_t aMaxWaiting);

  enqueue_result Enqueue(const std::string& aKey,
                         screening_id aTrial,
                         model::instant aDeadline);
  /** The one whose turn it was has ended. @return Whose turn it is now. */
  std::optional<screening_id> ReleaseTurn(const std::string& aKey);
  /** @return Those whose deadline came while they waited; not run. */
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
    mQueues; ///< A key is here while it is someone's turn.
};

} // namespace monsooncroft::once

#endif
