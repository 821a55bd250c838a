/**
 * @file rpc_exchange.cpp
 * The library's client over a transport of the project.
 */
#include "peer/jsonrpc/rpc_exchange_func.h"

#include "peer/jsonrpc/rpc_names.h"

#include <jsonrpccpp/client/client.h>

namespace monsooncroft {
namespace peer {

namespace {

/** The library's door to the transport. */
class connector : public jsonrpc::IClientConnector
{
public:
  explicit connector(rpc_transport& aTransport)
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
    connector door(aTransport);
    jsonrpc::Client client(door, jsonrpc::JSONRPC_CLIENT_V2);
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
