/**
 * @file resend_test.cpp
 * Guards against an attempt that reaches a leaf twice. The HTTP client of
 * cxxtools, the listeners' library, repeats a request by itself when a
 * keep-alive connection is closed; leaf clients therefore use
 * net::http_connection.
 */
#include "net/http_connection_base.h"
#include "net/http_connector_base.h"

#include <cxxtools/http/client.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>

namespace monsooncroft::link {
namespace {

using namespace std::chrono_literals;

/** Replies to each request but the second: reads that and closes. */
class closing_server
{
public:
  closing_server()
    : mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    socklen_t size = sizeof address;
    const bool listening = ::bind(mListener, raw, size) == 0 &&
                           ::listen(mListener, 8) == 0 &&
                           ::getsockname(mListener, raw, &size) == 0;
    EXPECT_TRUE(listening);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~closing_server()
  {
    ::shutdown(mListener, SHUT_RDWR);
    ::shutdown(mConnection, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
  }
  closing_server(const closing_server&) = delete;
  closing_server& operator=(const closing_server&) = delete;

  std::uint16_t Port() const { return mPort; }
  int Requests() const { return mRequests; }

private:
  void Serve()
  {
    while ((mConnection = ::accept(mListener, nullptr, nullptr)) >= 0) {
      ServeOne(mConnection);
      ::close(mConnection);
    }
  }
  void ServeOne(int aConnection)
  {
    static const std::string kReply =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: keep-alive\r\n"
      "Content-Type: application/json\r\n\r\n{}";
    while (ReadRequest(aConnection)) {
      if (++mRequests == 2) {
        return;
      }
      ::send(aConnection, kReply.data(), kReply.size(), MSG_NOSIGNAL);
    }
  }
  /** Reads up to the empty line; requests in this test have no body. */
  static bool ReadRequest(int aConnection)
  {
    std::string text;
    char byte = 0;
    while (!text.ends_with("\r\n\r\n")) {
      if (::recv(aConnection, &byte, 1, 0) != 1) {
        return false;
      }
      text += byte;
    }
    return true;
  }

  int mListener;
  std::atomic<int> mConnection = -1;
  std::uint16_t mPort = 0;
  std::atomic<int> mRequests = 0;
  std::thread mThread;
};

TEST(resend, client_of_the_listeners_library_sends_twice)
{
  closing_server server;
  cxxtools::http::Client client("127.0.0.1", server.Port());
  const cxxtools::Milliseconds timeout(2000);
  client.get("/", timeout);
  client.get("/", timeout); // Two calls are made.
  EXPECT_EQ(server.Requests(), 3) << "if this is 2, the library has changed";
}

TEST(resend, connection_of_the_links_sends_once)
{
  closing_server server;
  const auto connector = net::http_connector::Create(1);
  const auto connection = connector->Open({ "127.0.0.1", server.Port() });
  const auto call = [&] {
    std::promise<net::exchange_result> ended;
    connection->Exchange(
      {}, 2s, [&](const auto& aResult) { ended.set_value(aResult); });
    return ended.get_future().get();
  };
  EXPECT_EQ(call().mState, net::send_state::Replied);
  const net::exchange_result second = call();
  EXPECT_EQ(second.mState, net::send_state::MaybeSent);
  EXPECT_EQ(second.mError, net::exchange_error::Closed);
  EXPECT_EQ(call().mState, net::send_state::NotSent);
  EXPECT_EQ(server.Requests(), 2);
}

} // namespace
} // namespace monsooncroft::link
