/**
 * @file relay_handler_base.h
 * Accepts queries that other instances hand over.
 */
#ifndef MONSOONCROFT_GATEWAY_RELAY_HANDLER_BASE_H
#define MONSOONCROFT_GATEWAY_RELAY_HANDLER_BASE_H

#include "gateway/exchange_base.h"

#include <cstddef>
#include <functional>

namespace monsooncroft::gateway {

class request_dispatcher;

/** Executes queries of other instances, as many at a time as a root can answer
 * within their target latencies; more are refused at once. */
class relay_handler : public request_handler
{
public:
  /** @param aInProgress Queries in progress, with the one that has arrived. */
  relay_handler(request_dispatcher& aDispatcher,
                std::function<std::size_t()> aInProgress)
    : mDispatcher(aDispatcher)
    , mInProgress(std::move(aInProgress))
  {
  }

  void OnRequest(const exchange_ptr& aExchange) override;

private:
  request_dispatcher& mDispatcher;
  std::function<std::size_t()> mInProgress;
};

} // namespace monsooncroft::gateway

#endif
