/**
 * @file http_pool.cpp
 * Reuses idle connections and replaces those that the peer has closed.
 */
#include "net/http_pool_base.h"

#include "net/http_connector_base.h"

#include <future>
#include <utility>

namespace monsooncroft::net {

/** Idle connections of each endpoint. Lock rank: innermost. */
struct http_pool::state
{
  std::mutex mMutex;
  std::size_t mIdleLimit = 0;
  std::map<model::endpoint, std::vector<connection_ptr>> mIdle;
};

http_pool::http_pool(http_connector& aConnector, std::size_t aIdleLimit)
  : mConnector(aConnector)
  , mState(std::make_shared<state>())
{
  mState->mIdleLimit = aIdleLimit;
}

http_pool::connection_ptr
http_pool::TakeIdle(const model::endpoint& aPeer)
{
  const std::lock_guard lock(mState->mMutex);
  auto& idle = mState->mIdle[aPeer];
  while (!idle.empty()) {
    connection_ptr connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsOpen()) {
      return connection;
    }
  }
  return nullptr;
}

void
http_pool::SendOn(const connection_ptr& aConnection,
                  const model::endpoint& aPeer,
                  const http_request& aRequest,
                  model::duration aTimeout,
                  http_connection::callback aDone)
{
  aConnection->Exchange(
    aRequest,
    aTimeout,
    [pool = mState, aPeer, aConnection, done = std::move(aDone)](
      const exchange_result& aResult) {
      if (aConnection->IsOpen()) {
        const std::lock_guard lock(pool->mMutex);
        auto& idle = pool->mIdle[aPeer];
        if (idle.size() < pool->mIdleLimit) {
          idle.push_back(aConnection);
        }
      }
      done(aResult);
    });
}

void
http_pool::Send(const model::endpoint& aPeer,
                const http_request& aRequest,
                model::duration aTimeout,
                http_connection::callback aDone)
{
  const connection_ptr idle = TakeIdle(aPeer);
  if (!idle) {
    SendOn(mConnector.Open(aPeer), aPeer, aRequest, aTimeout, std::move(aDone));
    return;
  }
  // The peer may have closed the idle connection. If no byte of the request was
  // sent, it is safe to send the request on a new connection.
  SendOn(
    idle,
    aPeer,
    aRequest,
    aTimeout,
    [this, aPeer, aRequest, aTimeout, done = std::move(aDone)](
      const exchange_result& aResult) mutable {
      const bool stale = aResult.mState == send_state::NotSent &&
                         aResult.mError == exchange_error::Closed;
      if (stale) {
        SendOn(
          mConnector.Open(aPeer), aPeer, aRequest, aTimeout, std::move(done));
      } else {
        done(aResult);
      }
    });
}

exchange_result
http_pool::Call(const model::endpoint& aPeer,
                const http_request& aRequest,
                model::duration aTimeout)
{
  std::promise<exchange_result> promise;
  std::future<exchange_result> future = promise.get_future();
  Send(aPeer, aRequest, aTimeout, [&promise](const exchange_result& aResult) {
    promise.set_value(aResult);
  });
  return future.get();
}

} // namespace monsooncroft::net
