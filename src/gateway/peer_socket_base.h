/**
 * @file peer_socket_base.h
 * Sockets for traffic between entry instances.
 */
#ifndef MONSOONCROFT_GATEWAY_PEER_SOCKET_BASE_H
#define MONSOONCROFT_GATEWAY_PEER_SOCKET_BASE_H

#include "gateway/tcp_listener_base.h"
#include "model/endpoint_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

using uv_udp_t = struct uv_udp_s;

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::gateway {

class event_loop;
class snapshot_pull;
class snapshot_push;
class tcp_stream;

/**
 * Sends and receives datagrams, and serves snapshots over TCP on the same port:
 * each connection sends one request, gets one snapshot and is closed.
 */
class peer_socket
{
public:
  using datagram_handler =
    std::function<void(std::string_view, const model::endpoint&)>;
  /** Returns the snapshot for a peer's request; nothing if the request is not
   * complete yet. */
  using snapshot_source =
    std::function<std::optional<std::string>(std::string_view)>;
  /** Called with the snapshot; empty if the peer sent none. */
  using pull_handler = std::function<void(std::string)>;

  /** @throws gateway_error if the address cannot be bound. */
  peer_socket(event_loop& aLoop,
              const model::endpoint& aAddress,
              datagram_handler aOnDatagram,
              snapshot_source aSnapshot,
              const ops::log& aLog);
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;
  peer_socket(peer_socket&&) = delete;
  peer_socket& operator=(peer_socket&&) = delete;

  /** Sends a datagram; drops it if it cannot be sent, as the network may.
   * @return Whether it was handed to the network. */
  bool Send(const model::endpoint& aTo, std::string_view aBytes);
  void PullSnapshot(const model::endpoint& aFrom,
                    std::string aRequest,
                    pull_handler aOnPulled);

private:
  friend class snapshot_pull;
  friend class snapshot_push;

  void Accept(std::unique_ptr<tcp_stream> aStream);

  event_loop& mLoop;
  datagram_handler mOnDatagram;
  snapshot_source mSnapshot;
  uv_udp_t* mSocket;
  tcp_listener mListener;
  std::size_t mActivePushes = 0; ///< Snapshots that are being sent.
  std::unordered_map<void*, std::shared_ptr<void>> mTransfers;
};

} // namespace monsooncroft::gateway

#endif
