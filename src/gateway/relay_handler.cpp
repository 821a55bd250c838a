/**
 * @file relay_handler.cpp
 * Accepts queries that other instances hand over.
 */
#include "gateway/relay_handler_base.h"

#include "gateway/relay_fields_type.h"
#include "gateway/request_dispatcher_base.h"
#include "serving/fair_room_func.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Queries in progress at a root: their processor time is about the longest
 * target latency of a fan-out. */
constexpr std::size_t kMaxInProgress = 24;

} // namespace

void
relay_handler::OnRequest(const exchange_ptr& aExchange)
{
  const std::string* name = aExchange->Request().Find(relay_fields::kWorkspace);
  const std::string workspace = name == nullptr ? std::string() : *name;
  if (!HasRoom(workspace, mInProgress())) {
    mDispatcher.RefuseRelayed(aExchange, relay_fields::kOverloaded);
    return;
  }
  mAdmitted.push_back({ workspace, aExchange });
  mDispatcher.OnRelayedRequest(aExchange);
}

bool
relay_handler::IsSupplement(const http_message& aMessage) const
{
  return aMessage.Find(relay_fields::kGrant) != nullptr;
}

bool
relay_handler::HasRoom(const std::string& aWorkspace, std::size_t aInProgress)
{
  std::erase_if(mAdmitted, [](const admitted_query& aQuery) {
    const exchange_ptr query = aQuery.mExchange.lock();
    return !query || query->CallerLeft(); // Also after its answer.
  });
  const serving::routing_config_ptr& config = mDispatcher.Config();
  if (!config || !config->UsesWorkspaces()) {
    return aInProgress <= kMaxInProgress;
  }
  const auto ofWorkspace = static_cast<std::size_t>(std::count_if(
    mAdmitted.begin(), mAdmitted.end(), [&](const admitted_query& aQuery) {
      return aQuery.mWorkspace == aWorkspace;
    }));
  return serving::HasRoomFor(ofWorkspace,
                             aInProgress -
                               std::min<std::size_t>(aInProgress, 1),
                             kMaxInProgress);
}

} // namespace monsooncroft::gateway
