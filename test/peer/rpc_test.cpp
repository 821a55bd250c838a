/**
 * @file rpc_test.cpp
 * JSON-RPC server and client, in memory and over HTTP, and UDP datagrams.
 */
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"
#include "net/http_server_base.h"
#include "peer/datagram_socket_base.h"
#include "peer/jsonrpc/rpc_exchange_func.h"
#include "peer/jsonrpc/rpc_server_base.h"
#include "peer/peer_error.h"
#include "peer/rpc_client_base.h"

#include <gtest/gtest.h>
#include <stdexcept>

namespace monsooncroft::test {

namespace {

using namespace std::chrono_literals;

const model::endpoint kServer{ "127.0.0.1", 25100 };
const model::endpoint kFirstAddress{ "127.0.0.1", 25101 };
const model::endpoint kSecondAddress{ "127.0.0.1", 25102 };

/** Transport that passes requests directly to a server. */
class direct_transport : public peer::rpc_transport
{
public:
  explicit direct_transport(peer::rpc_server& aServer)
    : mServer(aServer)
  {
  }
  bool Exchange(const std::string& aRequest, std::string& aReply) override
  {
    aReply = mServer.HandleHttpBody(aRequest);
    return true;
  }

private:
  peer::rpc_server& mServer;
};

/** Passes HTTP request bodies to a JSON-RPC server. */
class rpc_http_handler : public net::http_handler
{
public:
  explicit rpc_http_handler(peer::rpc_server& aServer)
    : mServer(aServer)
  {
  }
  net::http_response Handle(const net::http_request& aRequest) override
  {
    return { net::kHttpOk, mServer.HandleHttpBody(aRequest.mBody) };
  }

private:
  peer::rpc_server& mServer;
};

TEST(Rpc, RepeatedMessageIdRunsNothing)
{
  int runs = 0;
  peer::rpc_server server;
  server.Register("count", [&](const std::string& aParams) {
    ++runs;
    return aParams;
  });
  direct_transport transport(server);
  const auto first = peer::CallOverRpc(transport, "count", "a-1", "[1]");
  EXPECT_TRUE(first.mOk) << first.mError;
  EXPECT_EQ(first.mResult, "[1]");
  EXPECT_FALSE(peer::CallOverRpc(transport, "count", "a-1", "[1]").mOk);
  EXPECT_TRUE(peer::CallOverRpc(transport, "count", "a-2", "[1]").mOk);
  EXPECT_EQ(runs, 2);
}

TEST(Rpc, FailedUnknownAndMalformedCallsGetErrors)
{
  peer::rpc_server server;
  server.Register("fail", [](const std::string&) -> std::string {
    throw std::runtime_error("bad params");
  });
  direct_transport transport(server);
  const auto failed = peer::CallOverRpc(transport, "fail", "a-1", "{}");
  EXPECT_FALSE(failed.mOk);
  EXPECT_NE(failed.mError.find("bad params"), std::string::npos);
  EXPECT_FALSE(peer::CallOverRpc(transport, "absent", "a-2", "{}").mOk);
  EXPECT_NE(server.HandleHttpBody("nonsense").find("error"), std::string::npos);
}

TEST(Rpc, CallsOverHttp)
{
  peer::rpc_server server;
  server.Register("echo", [](const std::string& aParams) { return aParams; });
  rpc_http_handler handler(server);
  net::http_server_options options;
  options.mListen = kServer;
  const auto listener = net::http_server::Start(options, handler);
  const auto connector = net::http_connector::Create(1);
  net::http_pool pool(*connector, 2);
  peer::rpc_client client(pool, "test");
  const std::string large(200'000, 'x');
  EXPECT_EQ(client.Call(kServer, "echo", large, 5s), large);
  EXPECT_EQ(client.Call(kServer, "echo", "[2]", 5s), "[2]");
  EXPECT_THROW(client.Call(kFirstAddress, "echo", "[3]", 1s), peer::peer_error);
  connector->Stop();
  listener->Stop();
}

TEST(Datagram, CarriesBytesAndTheSendersAddress)
{
  const auto first = peer::datagram_socket::Bind(kFirstAddress);
  const auto second = peer::datagram_socket::Bind(kSecondAddress);
  const std::string bytes("a\0b", 3);
  first->Send(kSecondAddress, bytes);
  const auto received = second->Receive(5s);
  ASSERT_TRUE(received);
  EXPECT_EQ(received->mBytes, bytes);
  EXPECT_EQ(received->mFrom, kFirstAddress);
}

} // namespace

} // namespace monsooncroft::test
