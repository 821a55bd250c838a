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
 * Detects a network partition from one other data centre. In a partition all
 * leaves of that data centre stop responding at once, and if each were detected
 * alone, requests would wait for one after the other. Several unresponsive
 * leaves while no leaf of the data centre answers make it unreachable; a single
 * contact makes it reachable again, and a probe is sent from time to time.
 */
class data_centre_reachability
{
public:
  /**
   * @param aLastContact Last contact with any leaf of the data centre.
   * @param aOverdue For each leaf with an overdue answer, when the attempt was
   * sent.
   */
  void OnTick(model::instant aLastContact,
              const std::vector<model::instant>& aOverdue);
  /**
   * A peer of the own data centre found the other data centre unreachable: this
   * is assumed here too, until a probe succeeds.
   * @return Whether the state has changed.
   */
  bool OnPeerReportedUnreachable();
  bool IsUnreachable() const { return mUnreachable; }
  /** Whether to send a probe now; only while the data centre is unreachable. */
  bool TakeProbe(model::instant aNow);

private:
  bool mUnreachable = false;
  /** Last contact as of the last tick; not updated while the data centre is
   * unreachable. */
  model::instant mLastContact;
  model::instant mNextProbeAt;
};

} // namespace monsooncroft::serving

#endif
