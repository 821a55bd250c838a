/**
 * @file read_freshness_base.h
 * When a cheap, possibly old read of the store will do.
 */
#ifndef MONSOONCROFT_SERVING_READ_FRESHNESS_BASE_H
#define MONSOONCROFT_SERVING_READ_FRESHNESS_BASE_H

#include "model/time_type.h"

#include <cstdint>
#include <optional>

namespace monsooncroft::serving {

/**
 * Leaves write heartbeats, so the store's revision grows steadily; a read whose
 * revision has not grown as usual is old. Answers the load of a store whose
 * cheap reads fall seconds behind while leaves drain and new ones start: the
 * reader notices it at the first such read and pays for fresh ones until the
 * cheap ones have caught up.
 */
class read_freshness
{
public:
  /** Whether the next read may be a cheap one. */
  bool MayBeOld(model::instant aNow) const;
  /**
   * @param aMayBeOld How the read was made.
   * @return Whether the read is to be repeated at once, as a fresh one.
   */
  bool OnRead(std::uint64_t aRevision, bool aMayBeOld, model::instant aNow);
  /** A revision that a peer has read. */
  void OnHeard(std::uint64_t aRevision, model::instant aNow);
  /** When a fresh read was last made here. */
  std::optional<model::instant> LastFresh() const { return mLastFresh; }

private:
  void Grow(std::uint64_t aRevision, model::instant aNow);

  std::uint64_t mRevision = 0;
  model::instant mRevisionAt;
  double mPerSecond = 0; ///< Growth of the revision; 0: unknown.
  std::optional<model::instant> mLastFresh;
  model::instant mFreshUntil;
};

} // namespace monsooncroft::serving

#endif
