/**
 * @file uv_http_server.cpp
 * Listens on an address and owns the accepted connections.
 */
#include "gateway/uv_http_server_base.h"

#include "gateway/caller_connection_base.h"
#include "gateway/event_loop_base.h"
#include "gateway/tcp_listener_base.h"
#include "gateway/tcp_stream_base.h"
#include "model/endpoint_type.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Connections waiting to be accepted: all clients of a zone may reconnect at
 * once. */
constexpr int kBacklog = 1'024;

} // namespace

uv_http_server::uv_http_server(event_loop& aLoop,
                               const model::endpoint& aAddress,
                               request_handler& aHandler,
                               const ops::log& aLog)
  : mLoop(aLoop)
  , mHandler(aHandler)
  , mListener(std::make_unique<tcp_listener>(
      aLoop,
      aAddress,
      kBacklog,
      [this](std::unique_ptr<tcp_stream> aStream) {
        Accept(std::move(aStream));
      },
      aLog))
{
}

uv_http_server::~uv_http_server() = default;

void
uv_http_server::StopAccepting()
{
  mListener.reset();
}

void
uv_http_server::Accept(std::unique_ptr<tcp_stream> aStream)
{
  auto connection = std::make_unique<caller_connection>(
    *this, std::move(aStream), event_loop::Now());
  auto* key = connection.get();
  mConnections.emplace(key, std::move(connection));
}

void
uv_http_server::RemoveConnection(caller_connection& aConnection)
{
  mLoop.Defer([this, key = &aConnection] { mConnections.erase(key); });
}

bool
uv_http_server::HasConnection(caller_connection& aConnection) const
{
  return mConnections.contains(&aConnection);
}

void
uv_http_server::CloseIdle()
{
  for (const auto& [key, connection] : mConnections) {
    if (connection->Idle()) {
      connection->CloseGracefully();
    }
  }
}

std::size_t
uv_http_server::BusyConnections() const
{
  return std::count_if(
    mConnections.begin(), mConnections.end(), [](const auto& aEntry) {
      return !aEntry.second->Idle();
    });
}

std::vector<caller_connection*>
uv_http_server::AllConnections() const
{
  std::vector<caller_connection*> all;
  all.reserve(mConnections.size());
  for (const auto& [key, connection] : mConnections) {
    all.push_back(key);
  }
  return all;
}

void
uv_http_server::AnswerAtStop(stop_answers aWhich)
{
  for (caller_connection* connection : AllConnections()) {
    connection->AnswerAtStop(aWhich);
  }
}

void
uv_http_server::OnTick(model::instant aNow)
{
  for (caller_connection* connection : AllConnections()) {
    connection->OnTick(aNow);
  }
}

} // namespace monsooncroft::gateway
