/**
 * @file way_watch_base.h
 * Whether another data centre can be reached.
 */
#ifndef MONSOONCROFT_SERVING_WAY_WATCH_BASE_H
#define MONSOONCROFT_SERVING_WAY_WATCH_BASE_H

#include "model/time_type.h"

#include <vector>

namespace monsooncroft::serving {

/**
 * The way to one other data centre. Answers the load of a cut: every leaf
 * behind it falls silent at once, and where each is noticed alone, requests
 * wait for one after the other. Some leaves that stand still while none of
 * that data centre answers are enough to take the way for lost; a single sign
 * of life restores it, and an attempt now and then asks for one.
 */
class way_watch
{
public:
  /**
   * @param aHeard Last sign of life of any leaf there.
   * @param aOverdue Of each leaf whose answer is overdue: since when it waits.
   */
  void OnTick(model::instant aHeard,
              const std::vector<model::instant>& aOverdue);
  /**
   * A neighbour has lost the way: believed until a try says otherwise.
   * @return Whether that is news.
   */
  bool OnToldLost();
  bool Lost() const { return mLost; }
  /** While the way is lost: true if it is to be tried now. */
  bool TakeTry(model::instant aNow);

private:
  bool mLost = false;
  model::instant mHeard; ///< Until the way was lost, or now.
  model::instant mNextTry;
};

} // namespace monsooncroft::serving

#endif
