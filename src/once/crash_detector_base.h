/**
 * @file crash_detector_base.h
 * Distinguishes the crash of a leaf from the loss of a connection.
 */
#ifndef MONSOONCROFT_ONCE_CRASH_DETECTOR_BASE_H
#define MONSOONCROFT_ONCE_CRASH_DETECTOR_BASE_H

#include "once/quarantine_type.h"

#include <chrono>
#include <string>
#include <vector>

namespace monsooncroft::once {

/** Suspicions that the leaf's behaviour has confirmed or dismissed. */
struct settled_suspicions
{
  std::vector<suspicion> mConfirmed; ///< The leaf crashed.
  std::vector<suspicion>
    mDismissed; ///< The leaf did not crash, or a crash cannot be proved.
};

/**
 * Detects crashes of one leaf. A connection lost with a request in flight
 * proves a crash only if the leaf then refuses connections or comes back with
 * another boot id. Not thread safe.
 */
class crash_detector
{
public:
  explicit crash_detector(model::leaf_id aLeaf);

  /**
   * A connection was lost with a request in flight.
   * @return The suspicion. Until the suspicion is confirmed or dismissed, hold
   * back hedges, retries and the answer, and probe the leaf.
   */
  suspicion OnConnectionLost(const content_hash& aContent,
                             const model::service_id& aService,
                             model::instant aNow);

  settled_suspicions OnConnectionRefused(); ///< The leaf refused a connection.
  /** The leaf reported its boot id in a reply. */
  settled_suspicions OnBootId(const std::string& aBootId);
  settled_suspicions OnTimer(
    model::instant aNow); ///< Dismisses suspicions that stay open too long.

private:
  /** A suspicion that is neither confirmed nor dismissed. */
  struct open_suspicion
  {
    suspicion mSuspicion;
    model::instant mSince;
  };

  model::leaf_id mLeaf;
  std::string mBootId; ///< Last boot id seen; empty before the first.
  std::vector<open_suspicion> mOpenSuspicions;
};

} // namespace monsooncroft::once

#endif
