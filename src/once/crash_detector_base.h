/**
 * @file crash_detector_base.h
 * Telling the death of a leaf from the loss of a connection.
 */
#ifndef MONSOONCROFT_ONCE_CRASH_DETECTOR_BASE_H
#define MONSOONCROFT_ONCE_CRASH_DETECTOR_BASE_H

#include "once/quarantine_type.h"

#include <chrono>
#include <string>
#include <vector>

namespace monsooncroft::once {

/** Suspicions about which the leaf's behaviour has now decided. */
struct settled_suspicions
{
  std::vector<suspicion> mConfirmed; ///< The leaf died.
  std::vector<suspicion> mDismissed; ///< It did not, or nobody can tell.
};

/**
 * The evidence at one leaf. A connection that died with a request in flight
 * proves a death only if the leaf then refuses connections or comes back with
 * another boot id. Not thread safe.
 */
class crash_detector
{
public:
  explicit crash_detector(model::leaf_id aLeaf);

  /**
   * A connection died with a request in flight.
   * @return The suspicion; hold back hedges, retries and the answer, and probe
   * the leaf, until it is settled.
   */
  suspicion OnConnectionLost(const content_hash& aContent,
                             const model::service_id& aService,
                             model::instant aNow);

  settled_suspicions OnConnectionRefused(); ///< The leaf refused a connection.
  /** The leaf named its boot id in any reply. */
  settled_suspicions OnBootId(const std::string& aBoot);
  settled_suspicions OnTimer(model::instant aNow); ///< Ends old suspicions.

private:
  /** A suspicion that is not settled. */
  struct open_suspicion
  {
    suspicion mSuspicion;
    model::instant mSince;
  };

  model::leaf_id mLeaf;
  std::string mBootId; ///< Last one seen; empty before the first.
  std::vector<open_suspicion> mOpenSuspicions;
};

} // namespace monsooncroft::once

#endif
