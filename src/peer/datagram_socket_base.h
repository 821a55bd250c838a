/**
 * @file datagram_socket_base.h
 * A UDP socket bound to the peer address.
 */
#ifndef MONSOONCROFT_PEER_DATAGRAM_SOCKET_BASE_H
#define MONSOONCROFT_PEER_DATAGRAM_SOCKET_BASE_H

#include "model/endpoint_type.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace monsooncroft::peer {

/** A received datagram and its sender. */
struct datagram
{
  model::endpoint mFrom;
  std::string mBytes;
};

/** Sends and receives datagrams; sending never blocks. Thread safe. */
class datagram_socket
{
public:
  virtual ~datagram_socket() = default;

  /**
   * Creates a socket bound to @p aLocal.
   * @throws net::net_error if the address cannot be bound.
   */
  static std::unique_ptr<datagram_socket> Bind(const model::endpoint& aLocal);

  /** Sends one datagram, or drops it if it cannot be sent at once. */
  virtual void Send(const model::endpoint& aTo, const std::string& aBytes) = 0;
  /** Waits for one datagram. @return Nothing if none arrives within @p aWait.
   */
  virtual std::optional<datagram> Receive(std::chrono::milliseconds aWait) = 0;
};

} // namespace monsooncroft::peer

#endif
