/**
 * @file stream_handler_base.h
 * Interface for the events of a TCP stream.
 */
#ifndef MONSOONCROFT_GATEWAY_STREAM_HANDLER_BASE_H
#define MONSOONCROFT_GATEWAY_STREAM_HANDLER_BASE_H

#include <cstdint>
#include <string_view>

namespace monsooncroft::gateway {

/** How the read side of a connection ended. */
enum class stream_end : std::uint8_t
{
  Finished, ///< Orderly end by the peer.
  Broken,   ///< Reset, timeout or failed write.
};

/** Receives a stream's events on the loop's thread; may destroy the stream. */
class stream_handler
{
public:
  stream_handler() = default;
  virtual ~stream_handler() = default;
  stream_handler(const stream_handler&) = delete;
  stream_handler& operator=(const stream_handler&) = delete;
  stream_handler(stream_handler&&) = delete;
  stream_handler& operator=(stream_handler&&) = delete;

  virtual void OnConnected(bool aSuccess) = 0;
  virtual void OnBytes(std::string_view aBytes) = 0;
  virtual void OnEnd(stream_end aEnd) = 0;
};

} // namespace monsooncroft::gateway

#endif
