/**
 * @file uv_http_server_base.h
 * Listens on an address and owns the accepted connections.
 */
#ifndef MONSOONCROFT_GATEWAY_UV_HTTP_SERVER_BASE_H
#define MONSOONCROFT_GATEWAY_UV_HTTP_SERVER_BASE_H

#include "model/time_type.h"
#include "serving/route_type.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsooncroft::model {
struct endpoint;
}

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::gateway {

class caller_connection;
class event_loop;
class request_handler;
enum class stop_answers : std::uint8_t;
class tcp_listener;
class tcp_stream;

/** Accepts caller connections and passes their requests to a handler, one at a
 * time per connection. */
class uv_http_server
{
public:
  /** @throws gateway_error if the address cannot be bound. */
  uv_http_server(event_loop& aLoop,
                 const model::endpoint& aAddress,
                 request_handler& aHandler,
                 const ops::log& aLog);
  ~uv_http_server();
  uv_http_server(const uv_http_server&) = delete;
  uv_http_server& operator=(const uv_http_server&) = delete;
  uv_http_server(uv_http_server&&) = delete;
  uv_http_server& operator=(uv_http_server&&) = delete;

  void SetLimits(const serving::caller_limits& aLimits) { mLimits = aLimits; }
  const serving::caller_limits& Limits() const { return mLimits; }
  /** Closes each connection after its next answer, so that callers reconnect to
   * another instance. */
  void SetCloseAfterAnswer(bool aClose) { mCloseAfterAnswer = aClose; }
  bool CloseAfterAnswer() const { return mCloseAfterAnswer; }
  void StopAccepting();
  void CloseIdle(); ///< Closes connections without a request in progress.
  /** Answers requests that the stopping instance does not finish. */
  void AnswerAtStop(stop_answers aWhich);
  /** Applies the timeouts of slow and idle callers. */
  void OnTick(model::instant aNow);

  std::size_t Connections() const { return mConnections.size(); }
  /** Number of connections with a request in progress. */
  std::size_t BusyConnections() const;

  // Called by the connections.
  event_loop& Loop() { return mLoop; }
  request_handler& Handler() { return mHandler; }
  void RemoveConnection(caller_connection& aConnection);
  bool HasConnection(caller_connection& aConnection) const;

private:
  void Accept(std::unique_ptr<tcp_stream> aStream);
  /** A copy, since handlers may add and remove connections. */
  std::vector<caller_connection*> AllConnections() const;

  event_loop& mLoop;
  request_handler& mHandler;
  serving::caller_limits mLimits;
  bool mCloseAfterAnswer = false;
  std::unique_ptr<tcp_listener> mListener; ///< Null after StopAccepting().
  std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>>
    mConnections;
};

} // namespace monsooncroft::gateway

#endif
