/**
 * @file rpc_exchange_func.h
 * Makes one JSON-RPC 2.0 call over any transport of texts.
 */
#ifndef MONSOONCROFT_PEER_JSONRPC_RPC_EXCHANGE_FUNC_H
#define MONSOONCROFT_PEER_JSONRPC_RPC_EXCHANGE_FUNC_H

#include <string>

// C++14 has no nested namespace definitions.
// NOLINTNEXTLINE(modernize-concat-nested-namespaces)
namespace monsooncroft {
namespace peer {

/** Carries a request to the peer. */
class rpc_transport
{
public:
  virtual ~rpc_transport() = default;
  /**
   * Sends a request and waits for the reply.
   * @param aRequest The request.
   * @param aReply Set to the reply.
   * @return False if no reply came.
   */
  virtual bool Exchange(const std::string& aRequest, std::string& aReply) = 0;
};

/** How a call ended. */
struct rpc_outcome
{
  bool mOk = false;
  std::string mResult; ///< JSON, if it went well.
  std::string mError;  ///< What went wrong, otherwise.
};

/**
 * Calls a method.
 * @param aTransport Carries it.
 * @param aMethod Name of the method.
 * @param aMessageId Never used before; the receiver drops a repetition.
 * @param aParams JSON.
 */
rpc_outcome
CallOverRpc(rpc_transport& aTransport,
            const std::string& aMethod,
            const std::string& aMessageId,
            const std::string& aParams);

} // namespace peer
} // namespace monsooncroft

#endif
