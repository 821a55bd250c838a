/**
 * @file query_desk_base.h
 * A checked query's way: refused, run here, or sent to its home instance.
 */
#ifndef MONSOONCROFT_ENTRY_QUERY_DESK_BASE_H
#define MONSOONCROFT_ENTRY_QUERY_DESK_BASE_H

#include "config/config_error_type.h"
#include "model/answer_type.h"
#include "net/http_type.h"

#include <string>

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::entry {

class once_service;
class root_service;
class trial_service;

/** What the desk uses; all outlives it. */
struct desk_parts
{
  root_service& mRoot;
  trial_service& mTrials;
  once_service& mOnce;
  const ops::log& mLog;
  ops::metrics& mMetrics;
};

/** Decides on which way a query is answered. Thread safe. */
class query_desk
{
public:
  explicit query_desk(const desk_parts& aParts);

  /** Answers a caller's query; blocks its worker. */
  net::http_response Answer(const model::query& aQuery);

  /** The answer to a query that is none. */
  net::http_response Refuse(const config::config_errors& aErrors);

private:
  void Report(const model::query& aQuery, const model::answer& aAnswer) const;

  desk_parts mParts;
};

} // namespace monsooncroft::entry

#endif
