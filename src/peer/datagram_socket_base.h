/**
 * @file datagram_socket_base.h
 * A UDP socket on the peer address.
 */
#ifndef MONSOONCROFT_PEER_DATAGRAM_SOCKET_BASE_H
#define MONSOONCROFT_PEER_DATAGRAM_SOCKET_BASE_H

#include "model/endpoint_type.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace monsooncroft::peer {

/** What came, and from where. */
struct datagram
{
  model::endpoint mFrom;
  std::string mBytes;
};

/** Sends and receives without ever blocking a sender. Thread safe. */
class datagram_socket
{
public:
  virtual ~datagram_socket() = default;

  /**
   * Binds a socket.
   * @throws net::net_error if the address cannot be bound.
   */
  static std::unique_ptr<datagram_socket> Bind(const model::endpoint& aLocal);

  /** Sends one datagram; one that cannot leave at once is lost. */
  virtual void Send(const model::endpoint& aTo, const std::string& aBytes) = 0;
  /** Waits for one datagram. @return Nothing if none came in time. */
  virtual std::optional<datagram> Receive(std::chrono::milliseconds aWait) = 0;
};

} // namespace monsooncroft::peer

#endif
