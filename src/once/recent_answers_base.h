/**
 * @file recent_answers_base.h
 * Requests that services have answered a short time ago.
 */
#ifndef MONSOONCROFT_ONCE_RECENT_ANSWERS_BASE_H
#define MONSOONCROFT_ONCE_RECENT_ANSWERS_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"
#include "once/request_key_type.h"

#include <cstdint>
#include <unordered_set>

namespace monsooncroft::once {

/**
 * Remembers for some seconds which requests a service has answered: a request
 * that crashes each leaf of a service is never answered by it. Older answers
 * prove nothing, as the leaves may run other software since. Bounded. Not
 * thread safe.
 */
class recent_answers
{
public:
  void Add(const content_hash& aContent,
           const model::service_id& aService,
           model::instant aNow);
  bool Contains(const content_hash& aContent,
                const model::service_id& aService,
                model::instant aNow) const;

private:
  /** Starts a new period if the current one is over or full. */
  void Rotate(model::instant aNow);

  /** Hashes of request and service. */
  std::unordered_set<std::uint64_t> mCurrent;
  std::unordered_set<std::uint64_t> mPrevious; ///< Of the period before.
  model::instant mCurrentSince;
};

} // namespace monsooncroft::once

#endif
