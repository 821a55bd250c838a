/**
 * @file tcp_stream_base.h
 * One TCP connection on the event loop.
 */
#ifndef MONSOONCROFT_GATEWAY_TCP_STREAM_BASE_H
#define MONSOONCROFT_GATEWAY_TCP_STREAM_BASE_H

#include "gateway/stream_handler_base.h"
#include "model/time_type.h"

#include <cstddef>
#include <memory>
#include <string>

using uv_tcp_t = struct uv_tcp_s;
using uv_stream_t = struct uv_stream_s;

namespace monsooncroft::model {
struct endpoint;
}

namespace monsooncroft::gateway {

class event_loop;

/** Reports bytes as they arrive; writes immediately as far as possible. */
class tcp_stream
{
public:
  /**
   * Starts to connect; the handler's OnConnected() reports the result.
   * @return Null if no socket is available.
   */
  static std::unique_ptr<tcp_stream> Connect(event_loop& aLoop,
                                             const model::endpoint& aTo,
                                             stream_handler& aHandler);
  /** Accepts a waiting connection of a listening handle; null on failure. */
  static std::unique_ptr<tcp_stream> Accept(event_loop& aLoop,
                                            uv_stream_t* aListener);
  ~tcp_stream(); ///< Closes; the handler gets no further calls.
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  tcp_stream(tcp_stream&&) = delete;
  tcp_stream& operator=(tcp_stream&&) = delete;

  void SetHandler(stream_handler& aHandler) { mHandler = &aHandler; }
  /** Round-trip time measured by the kernel; 0 if it is unknown. */
  model::duration RoundTrip() const;
  void StartReading();
  void StopReading();
  /** Writes in order; failures are reported by OnEnd(). */
  void Write(std::string aBytes);
  /** Shuts down the write side after pending writes; reading continues. */
  void ShutDown();
  void ResetOnClose()
  {
    mResetOnClose = true;
  } ///< Makes the destructor send a reset, so that the other side stops
    ///< immediately.
  std::size_t PendingBytes() const; ///< Bytes not yet passed to the kernel.
  /** Whether something has happened that the handler will be told when the loop
   * next polls: bytes or an end have arrived, or connecting has ended. */
  bool HasUnreportedEvent() const;

private:
  explicit tcp_stream(event_loop& aLoop);

  struct callbacks;

  stream_handler* mHandler = nullptr;
  bool mResetOnClose = false;
  bool mConnecting = false;
  event_loop& mLoop;
  uv_tcp_t* mHandle;
};

} // namespace monsooncroft::gateway

#endif
