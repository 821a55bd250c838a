/**
 * @file rpc_exchange.cpp
 * Runs the client of libjson-rpc-cpp over an rpc_transport.
 */
#include "peer/jsonrpc/rpc_exchange_func.h"

#include "peer/jsonrpc/rpc_names.h"

#include <jsonrpccpp/client/client.h>

namespace monsooncroft {
namespace peer {

namespace {

/** Connects the client of libjson-rpc-cpp to an rpc_transport. */
class transport_connector : public jsonrpc::IClientConnector
{
public:
  explicit transport_connector(rpc_transport& aTransport)
    : mTransport(aTransport)
  {
  }

  // The base class declares this exception specification.
  // NOLINTBEGIN(modernize-use-noexcept)
  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  // NOLINTEND(modernize-use-noexcept)
  {
    if (!mTransport.Exchange(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no reply");
    }
  }

private:
  rpc_transport& mTransport;
};

} // namespace

rpc_outcome
CallOverRpc(rpc_transport& aTransport,
            const std::string& aMethod,
            const std::string& aMessageId,
            const std::string& aParams)
{
  rpc_outcome outcome;
  try {
    transport_connector connector(aTransport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value params(Json::objectValue);
    params[kMessageIdParam] = aMessageId;
    params[kBodyParam] = aParams;
    outcome.mResult = client.CallMethod(aMethod, params).asString();
    outcome.mOk = true;
  } catch (const std::exception& error) {
    outcome.mError = error.what();
  }
  return outcome;
}

} // namespace peer
} // namespace monsooncroft
