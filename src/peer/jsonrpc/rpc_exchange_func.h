/**
 * @file rpc_exchange_func.h
 * Makes one JSON-RPC 2.0 call over any text transport.
 */
#ifndef MONSOONCROFT_PEER_JSONRPC_RPC_EXCHANGE_FUNC_H
#define MONSOONCROFT_PEER_JSONRPC_RPC_EXCHANGE_FUNC_H

#include <string>

// C++14 has no nested namespace definitions.
// NOLINTNEXTLINE(modernize-concat-nested-namespaces)
namespace monsooncroft {
namespace peer {

/** Sends JSON-RPC requests to one peer. */
class rpc_transport
{
public:
  virtual ~rpc_transport() = default;
  /**
   * Sends a request and waits for the reply.
   * @param aRequest The JSON-RPC request.
   * @param aReply Set to the JSON-RPC response.
   * @return False if there is no response; @p aReply is then unchanged.
   */
  virtual bool Exchange(const std::string& aRequest, std::string& aReply) = 0;
};

/** The result or the error of a call. */
struct rpc_outcome
{
  bool mOk = false;
  std::string mResult; ///< The result as a JSON text, if mOk.
  std::string mError;  ///< Error message, if not mOk.
};

/**
 * Calls a method.
 * @param aTransport Transport to the peer.
 * @param aMethod Name of the method.
 * @param aMessageId Unique id of this message; the receiver rejects an id that
 * it has already received.
 * @param aParams Parameters of the method as a JSON text.
 */
rpc_outcome
CallOverRpc(rpc_transport& aTransport,
            const std::string& aMethod,
            const std::string& aMessageId,
            const std::string& aParams);

} // namespace peer
} // namespace monsooncroft

#endif
