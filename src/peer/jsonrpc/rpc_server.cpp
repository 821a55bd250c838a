/**
 * @file rpc_server.cpp
 * Runs the protocol handler of libjson-rpc-cpp on requests from the peer
 * listener.
 */
#include "peer/jsonrpc/rpc_server_base.h"

#include "peer/jsonrpc/rpc_names.h"

#include <deque>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace monsooncroft {
namespace peer {

namespace {

/** Number of message ids kept to detect repetitions; calls with older ids have
 * timed out. */
constexpr std::size_t kMaxRecentMessageIds = 8192;

/** The most recent message ids, to detect repeated messages. Thread safe; lock
 * rank: innermost. */
class recent_message_ids
{
public:
  /** Records an id. @return False if the id is already recorded. */
  bool Insert(const std::string& aId)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mIds.insert(aId).second) {
      return false;
    }
    mOrder.push_back(aId);
    if (mOrder.size() > kMaxRecentMessageIds) {
      mIds.erase(mOrder.front());
      mOrder.pop_front();
    }
    return true;
  }

private:
  std::mutex mMutex;
  std::set<std::string> mIds;
  std::deque<std::string> mOrder;
};

} // namespace

/** Runs the registered methods for libjson-rpc-cpp. */
class rpc_server::dispatcher : public jsonrpc::IProcedureInvokationHandler
{
public:
  void Add(const std::string& aName, method aMethod)
  {
    mMethods[aName] = std::move(aMethod);
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    if (!mRecentMessageIds.Insert(aInput[kMessageIdParam].asString())) {
      throw jsonrpc::JsonRpcException(
        jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, "repeated message id");
    }
    const auto& run = mMethods.at(aProcedure.GetProcedureName());
    try {
      aOutput = run(aInput[kBodyParam].asString());
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*aProcedure*/,
                              const Json::Value& /*aInput*/) override
  {
  }

private:
  std::map<std::string, method> mMethods;
  recent_message_ids mRecentMessageIds;
};

/** Passes request bodies to libjson-rpc-cpp and returns its responses. */
class rpc_server::connector : public jsonrpc::AbstractServerConnector
{
public:
  explicit connector(dispatcher& aDispatcher)
    : mHandler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
        jsonrpc::JSONRPC_SERVER_V2,
        aDispatcher))
  {
    SetHandler(mHandler.get());
  }

  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& aResponse, void* aInfo) override
  {
    *static_cast<std::string*>(aInfo) = aResponse;
    return true;
  }
  jsonrpc::IProtocolHandler& Handler() { return *mHandler; }

private:
  std::unique_ptr<jsonrpc::IProtocolHandler> mHandler;
};

rpc_server::rpc_server()
  : mDispatcher(new dispatcher)
  , mConnector(new connector(*mDispatcher))
{
}

rpc_server::~rpc_server() = default;

void
rpc_server::Register(const std::string& aName, method aMethod)
{
  mDispatcher->Add(aName, std::move(aMethod));
  mConnector->Handler().AddProcedure(jsonrpc::Procedure(aName,
                                                        jsonrpc::PARAMS_BY_NAME,
                                                        jsonrpc::JSON_STRING,
                                                        kMessageIdParam,
                                                        jsonrpc::JSON_STRING,
                                                        kBodyParam,
                                                        jsonrpc::JSON_STRING,
                                                        NULL));
}

std::string
rpc_server::HandleHttpBody(const std::string& aBody)
{
  std::string response;
  mConnector->OnRequest(aBody, &response);
  return response;
}

} // namespace peer
} // namespace monsooncroft
