/**
 * @file ranked_mutex_base.h
 * A mutex that knows its place in the order of locks.
 */
#ifndef MONSOONCROFT_ENTRY_RANKED_MUTEX_BASE_H
#define MONSOONCROFT_ENTRY_RANKED_MUTEX_BASE_H

#include <mutex>

namespace monsooncroft::entry {

/** Places in the order: a thread takes locks of growing rank only. */
enum class lock_rank
{
  Fanout = 10,   ///< One query's fan-out.
  Tables = 20,   ///< Manifests, leaves, views of snapshots.
  Leaf = 30,     ///< One leaf's admission.
  Record = 40,   ///< One bucket of the record, the answer memory.
  Innermost = 90 ///< Budgets and trackers; nothing is called under them.
};

/** A mutex; a checked build ends the process on a wrong order. */
class ranked_mutex
{
public:
  explicit ranked_mutex(lock_rank aRank)
    : mRank(aRank)
  {
  }

  void lock();   // NOLINT(readability-identifier-naming): the standard's name.
  void unlock(); // NOLINT(readability-identifier-naming): the standard's name.

private:
  lock_rank mRank;
  std::mutex mMutex;
};

} // namespace monsooncroft::entry

#endif
