/**
 * @file rpc_client_base.h
 * Calls JSON-RPC methods of other entry instances.
 */
#ifndef MONSOONCROFT_PEER_RPC_CLIENT_BASE_H
#define MONSOONCROFT_PEER_RPC_CLIENT_BASE_H

#include "model/endpoint_type.h"
#include "model/time_type.h"

#include <atomic>
#include <string>

namespace monsooncroft::net {
class http_pool;
}

namespace monsooncroft::peer {

/** Path at which a peer's HTTP listener accepts JSON-RPC calls. */
constexpr auto kRpcTarget = "/rpc";

/** A JSON-RPC 2.0 client over pooled HTTP connections. Thread safe. */
class rpc_client
{
public:
  /**
   * @param aPool Pool of connections; outlives the client.
   * @param aName Prefix of every message id; differs for each start of the
   * process.
   */
  rpc_client(net::http_pool& aPool, std::string aName);

  /**
   * Calls a method and waits for its result. Must not be called on an I/O
   * thread.
   * @param aPeer Peer address of the other entry instance.
   * @param aMethod Name of the method.
   * @param aParams Parameters of the method as a JSON text.
   * @param aTimeout Bounds the whole call, connecting included.
   * @return The result as a JSON text.
   * @throws peer_error if the call fails or no result arrives within @p
   * aTimeout.
   */
  std::string Call(const model::endpoint& aPeer,
                   const std::string& aMethod,
                   const std::string& aParams,
                   model::duration aTimeout);

private:
  net::http_pool& mPool;
  std::string mMessageIdPrefix;
  std::atomic<std::uint64_t> mNextMessageNumber{
    0
  }; ///< Number of the next message.
};

} // namespace monsooncroft::peer

#endif
