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

/** Reads as bytes arrive, writes at once as far as possible. */
class tcp_stream
{
public:
  /**
   * Begins to connect; the handler hears of the outcome.
   * @return Null if no socket is to be had.
   */
  static std::unique_ptr<tcp_stream> Connect(event_loop& aLoop,
                                             const model::endpoint& aTo,
                                             stream_handler& aHandler);
  /** Takes a waiting connection of a listening handle; null if that fails. */
  static std::unique_ptr<tcp_stream> Accept(event_loop& aLoop,
                                            uv_stream_t* aListener);
  ~tcp_stream(); ///< Closes; the handler hears nothing more.
  tcp_stream(const tcp_stream&) = delete;
  tcp_stream& operator=(const tcp_stream&) = delete;
  tcp_stream(tcp_stream&&) = delete;
  tcp_stream& operator=(tcp_stream&&) = delete;

  void SetHandler(stream_handler& aHandler) { mHandler = &aHandler; }
  /** Way there and back as the kernel measured it; 0 if it cannot tell. */
  model::duration RoundTrip() const;
  void StartReading();
  void StopReading();
  /** Writes in order; failures show as the end of the stream. */
  void Write(std::string aBytes);
  /** Ends the own direction once all is written; reading goes on. */
  void ShutDown();
  void ResetOnClose()
  {
    mResetOnClose = true;
  }                                 ///< Closes by a reset, so that the other
                                    ///< side stops at once.
  std::size_t PendingBytes() const; ///< Bytes not yet handed to the kernel.

private:
  explicit tcp_stream(event_loop& aLoop);

  struct callbacks;

  stream_handler* mHandler = nullptr;
  bool mResetOnClose = false;
  event_loop& mLoop;
  uv_tcp_t* mHandle;
};

} // namespace monsooncroft::gateway

#endif
