/**
 * @file rpc_client_base.h
 * Calls methods at other instances.
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

/** Where a peer's listener takes JSON-RPC. */
constexpr auto kRpcTarget = "/rpc";

/** JSON-RPC 2.0 over pooled HTTP connections. Thread safe. */
class rpc_client
{
public:
  /**
   * @param aPool Connections; outlives the client.
   * @param aName Starts every message id; unique to this start of the process.
   */
  rpc_client(net::http_pool& aPool, std::string aName);

  /**
   * Calls and waits. Never call it on an I/O thread.
   * @param aPeer The other instance.
   * @param aMethod Name of the method.
   * @param aParams JSON.
   * @param aTimeout Time for everything.
   * @return The result, JSON.
   * @throws peer_error if no result came in time.
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
