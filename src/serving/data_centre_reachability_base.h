/**
 * @file data_centre_reachability_base.h
 * Whether another data centre can be reached.
 */
#ifndef MONSOONCROFT_SERVING_DATA_CENTRE_REACHABILITY_BASE_H
#define MONSOONCROFT_SERVING_DATA_CENTRE_REACHABILITY_BASE_H

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
class data_centre_reachability
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
  bool OnPeerReportedUnreachable();
  bool IsUnreachable() const { return mUnreachable; }
  /** While the way is lost: true if it is to be tried now. */
  bool TakeProbe(model::instant aNow);

private:
  bool mUnreachable = false;
  model::instant mLastContact; ///< Until the way was lost, or now.
  model::instant mNextProbeAt;
};

} // namespace monsooncroft::serving

#endif
