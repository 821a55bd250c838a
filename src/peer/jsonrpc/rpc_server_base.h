/**
 * @file rpc_server_base.h
 * Answers JSON-RPC 2.0 calls that come as the bodies of HTTP requests.
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

/** Methods by name. Thread safe once every method is registered. */
class rpc_server
{
public:
  /** Takes the parameters and gives the result, both JSON texts; an exception
   * becomes the call's error. */
  using method = std::function<std::string(const std::string& aParams)>;

  rpc_server();
  ~rpc_server();
  rpc_server(const rpc_server&) = delete;
  rpc_server& operator=(const rpc_server&) = delete;

  /**
   * Adds a method.
   * @param aName Its name.
   * @param aMethod What answers it.
   * @pre No call is under way.
   */
  void Register(const std::string& aName, method aMethod);

  /**
   * Answers one call. A message id that came before gets an error and runs
   * nothing.
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
