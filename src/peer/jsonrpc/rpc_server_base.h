/**
 * @file rpc_server_base.h
 * Handles JSON-RPC 2.0 calls in the bodies of HTTP requests.
 */
#ifndef MONSOONCROFT_PEER_JSONRPC_RPC_SERVER_BASE_H
#define MONSOONCROFT_PEER_JSONRPC_RPC_SERVER_BASE_H

#include <functional>
#include <memory>
#include <string>

// C++14 has no nested namespace definitions.
// NOLINTNEXTLINE(modernize-concat-nested-namespaces)
namespace monsooncroft {
namespace peer {

/** A JSON-RPC 2.0 server with methods by name. Thread safe once every method is
 * registered. */
class rpc_server
{
public:
  /** Takes the parameters and returns the result, both as JSON texts. An
   * exception becomes the error of the call. */
  using method = std::function<std::string(const std::string& aParams)>;

  rpc_server();
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /**
   * Registers a method.
   * @param aName Name of the method.
   * @param aMethod Function that handles its calls.
   * @pre No call is in progress.
   */
  void Register(const std::string& aName, method aMethod);

  /**
   * Handles one call. A call whose message id was already received gets an
   * error and its method does not run.
   * @param aBody The JSON-RPC request.
   * @return The JSON-RPC response.
   */
  std::string HandleHttpBody(const std::string& aBody);

private:
  class connector;
  class dispatcher;
  std::unique_ptr<dispatcher> mDispatcher;
  std::unique_ptr<connector> mConnector;
};

} // namespace peer
} // namespace monsooncroft

#endif
