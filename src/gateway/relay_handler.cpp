/**
 * @file relay_handler.cpp
 * Accepts queries that other instances hand over.
 */
#include "gateway/relay_handler_base.h"

#include "gateway/relay_fields_type.h"
#include "gateway/request_dispatcher_base.h"

namespace monsooncroft::gateway {

namespace {

/** Queries in progress at a root: their processor time is about the longest
 * target latency of a fan-out. */
constexpr std::size_t kMaxInProgress = 24;

} // namespace

void
relay_handler::OnRequest(const exchange_ptr& aExchange)
{
  if (mInProgress() > kMaxInProgress) {
    mDispatcher.RefuseRelayed(aExchange, relay_fields::kOverloaded);
  } else {
    mDispatcher.OnRelayedRequest(aExchange);
  }
}

} // namespace monsooncroft::gateway
