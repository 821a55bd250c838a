/**
 * @file caller_handler_base.h
 * Answers callers, the balancer and operators.
 */
#ifndef MONSOONCROFT_ENTRY_CALLER_HANDLER_BASE_H
#define MONSOONCROFT_ENTRY_CALLER_HANDLER_BASE_H

#include "model/answer_type.h"
#include "net/http_server_base.h"

#include <atomic>
#include <functional>
#include <string>

namespace monsooncroft::entry {

class query_desk;

/** What the handler hands requests to; all outlives it. */
struct caller_routes
{
  query_desk& mDesk;
  std::function<bool()> mReady;          ///< For the balancer.
  std::function<std::string()> mStatus;  ///< JSON of /v1/status.
  std::function<std::string()> mMetrics; ///< Text of /metrics.
  std::function<std::string(const std::string&)>
    mExplain; ///< Body to JSON; empty if bad.
  std::size_t mMaxQueryBytes = 0;
};

/** Requests on the caller address. Thread safe. */
class caller_handler : public net::http_handler
{
public:
  explicit caller_handler(caller_routes aRoutes);
  net::http_response Handle(const net::http_request& aRequest) override;

  int InFlight() const { return mInFlight; } ///< Queries not yet answered.
  void SetClosing(bool aClosing)
  {
    mClosing = aClosing;
  } ///< Ask callers to close.

private:
  net::http_response Query(const std::string& aBody);
  net::http_response Explain(const std::string& aBody);
  net::http_response Plain(const std::string& aTarget);

  caller_routes mRoutes;
  std::atomic<int> mInFlight{ 0 };
  std::atomic<bool> mClosing{ false };
};

/** The HTTP response that carries an answer. */
net::http_response
ToResponse(const model::answer& aAnswer);

} // namespace monsooncroft::entry

#endif
