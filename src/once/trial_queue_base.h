/**
 * @file trial_queue_base.h
 * One request at a time for each key, at the key's home instance.
 */
#ifndef MONSOONCROFT_ONCE_TRIAL_QUEUE_BASE_H
#define MONSOONCROFT_ONCE_TRIAL_QUEUE_BASE_H

#include "model/time_type.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::once {

/** A request that waits for its turn, as its holder numbers it. */
using trial_number = std::uint64_t;

/** What Enter came to. */
enum class trial_entry
{
  Go,   ///< Its turn: ask quarantine::Admit again, then send.
  Wait, ///< Leave or Expire will name it.
  Full, ///< Not run: too many wait.
};

/**
 * Serialises suspects. Whoever got its turn must Leave, also when it was
 * refused. Not thread safe.
 */
class trial_queue
{
public:
  explicit trial_queue(std::size_t aMaxWaiting);

  trial_entry Enter(const std::string& aKey,
                    trial_number aTrial,
                    model::instant aDeadline);
  /** The one whose turn it was has ended. @return Whose turn it is now. */
  std::optional<trial_number> Leave(const std::string& aKey);
  /** @return Those whose deadline came while they waited; not run. */
  std::vector<trial_number> Expire(model::instant aNow);

  std::size_t Waiting() const { return mWaiting; }

private:
  struct waiting
  {
    trial_number mTrial = 0;
    model::instant mDeadline;
  };

  std::size_t mMaxWaiting;
  std::size_t mWaiting = 0;
  std::map<std::string, std::deque<waiting>>
    mKeys; ///< A key is here while it is someone's turn.
};

} // namespace monsooncroft::once

#endif
