/**
 * @file tcp_listener_base.h
 * A listening TCP socket.
 */
#ifndef MONSOONCROFT_GATEWAY_TCP_LISTENER_BASE_H
#define MONSOONCROFT_GATEWAY_TCP_LISTENER_BASE_H

#include <functional>
#include <memory>

using uv_tcp_t = struct uv_tcp_s;

namespace monsooncroft::model {
struct endpoint;
}

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::gateway {

class event_loop;
class tcp_stream;

/** Accepts connections until it is destroyed. */
class tcp_listener
{
public:
  using accept_handler = std::function<void(std::unique_ptr<tcp_stream>)>;

  /**
   * @param aBacklog Number of connections that may wait to be accepted.
   * @param aLog Log for connections that cannot be accepted; the listener
   * continues.
   * @throws gateway_error if the address cannot be bound.
   */
  tcp_listener(event_loop& aLoop,
               const model::endpoint& aAddress,
               int aBacklog,
               accept_handler aOnAccepted,
               const ops::log& aLog);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;
  tcp_listener(tcp_listener&&) = delete;
  tcp_listener& operator=(tcp_listener&&) = delete;

  /** The bound address, with the assigned port if port 0 was requested. */
  model::endpoint Address() const;

private:
  void Accept(int aStatus);
  void LogFailure(const char* aError) const;
  void Close();

  event_loop& mLoop;
  accept_handler mOnAccepted;
  const ops::log& mLog;
  uv_tcp_t* mHandle;
};

} // namespace monsooncroft::gateway

#endif
