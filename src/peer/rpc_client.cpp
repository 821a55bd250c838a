/**
 * @file rpc_client.cpp
 * Sends JSON-RPC calls as POST requests over pooled connections.
 */
#include "peer/rpc_client_base.h"

#include "net/http_pool_base.h"
#include "peer/jsonrpc/rpc_exchange_func.h"
#include "peer/peer_error.h"

#include <utility>

namespace monsooncroft::peer {

namespace {

/** Sends one call as an HTTP request. */
class http_transport : public rpc_transport
{
public:
  http_transport(net::http_pool& aPool,
                 model::endpoint aPeer,
                 model::duration aTimeout)
    : mPool(aPool)
    , mPeer(std::move(aPeer))
    , mTimeout(aTimeout)
  {
  }

  bool Exchange(const std::string& aRequest, std::string& aReply) override
  {
    const auto result =
      mPool.Call(mPeer, { "POST", kRpcTarget, aRequest }, mTimeout);
    const bool ok = result.mState == net::send_state::Replied &&
                    result.mResponse.mStatus == net::kHttpOk;
    if (ok) {
      aReply = result.mResponse.mBody;
    }
    return ok;
  }

private:
  net::http_pool& mPool;
  model::endpoint mPeer;
  model::duration mTimeout;
};

} // namespace

rpc_client::rpc_client(net::http_pool& aPool, std::string aName)
  : mPool(aPool)
  , mMessageIdPrefix(std::move(aName))
{
}

std::string
rpc_client::Call(const model::endpoint& aPeer,
                 const std::string& aMethod,
                 const std::string& aParams,
                 model::duration aTimeout)
{
  http_transport transport(mPool, aPeer, aTimeout);
  const auto id = mMessageIdPrefix + "-" + std::to_string(mNextMessageNumber++);
  auto outcome = CallOverRpc(transport, aMethod, id, aParams);
  if (!outcome.mOk) {
    throw peer_error(aMethod + " at " + aPeer.ToString() + ": " +
                     outcome.mError);
  }
  return std::move(outcome.mResult);
}

} // namespace monsooncroft::peer
