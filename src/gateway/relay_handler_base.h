/**
 * @file relay_handler_base.h
 * Accepts queries that other instances hand over.
 */
#ifndef MONSOONCROFT_GATEWAY_RELAY_HANDLER_BASE_H
#define MONSOONCROFT_GATEWAY_RELAY_HANDLER_BASE_H

#include "gateway/exchange_base.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::gateway {

class request_dispatcher;

/** Executes queries of other instances, as many at a time as a root can answer
 * within their target latencies; more are refused at once. Where the
 * configuration has workspaces, none of them takes all room. */
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
  bool HasSupplements() const override { return true; }
  bool IsSupplement(const http_message& aMessage) const override;

private:
  /** A query of a workspace that was admitted; over if it has been answered. */
  struct admitted_query
  {
    std::string mWorkspace;
    std::weak_ptr<exchange> mExchange;
  };

  /** Whether there is room for a query, the last one in progress. */
  bool HasRoom(const std::string& aWorkspace, std::size_t aInProgress);

  request_dispatcher& mDispatcher;
  std::function<std::size_t()> mInProgress;
  std::vector<admitted_query> mAdmitted;
};

} // namespace monsooncroft::gateway

#endif
