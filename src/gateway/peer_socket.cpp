/**
 * @file peer_socket.cpp
 * Sockets for traffic between entry instances.
 */
#include "gateway/peer_socket_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/gateway_error.h"
#include "gateway/loop_timer_base.h"
#include "gateway/stream_handler_base.h"
#include "gateway/tcp_stream_base.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <uv.h>

#include <array>

namespace monsooncroft::gateway {

namespace {

/** Time limit of a snapshot transfer; the next pull goes to another peer. */
constexpr std::chrono::milliseconds kPullTimeout{ 700 };
constexpr int kBacklog = 256;
/** Snapshots sent at the same time. The whole fleet asks the first instance
 * that has a new configuration, and its callers share the network bandwidth
 * with these transfers. A rejected peer asks again later, possibly another
 * instance that has the configuration by then. */
constexpr std::size_t kMaxPushes = 4;
constexpr std::size_t kMaxDatagramBytes = 65'536;
constexpr std::size_t kMaxRequestBytes = 64;

} // namespace

/** Base of both directions of a snapshot transfer; applies the time limit. */
class snapshot_transfer : public stream_handler
{
public:
  snapshot_transfer(event_loop& aLoop, std::function<void()> aOnTimeout)
    : mTimer(aLoop, std::move(aOnTimeout))
  {
    mTimer.Start(kPullTimeout);
  }
  std::unique_ptr<tcp_stream> mStream;

private:
  loop_timer mTimer;
};

/** Reads a peer's snapshot until the peer closes the connection. */
class snapshot_pull : public snapshot_transfer
{
public:
  snapshot_pull(peer_socket& aPeerSocket,
                std::string aRequest,
                peer_socket::pull_handler aOnPulled)
    : snapshot_transfer(aPeerSocket.mLoop, [this] { Finish({}); })
    , mPeerSocket(aPeerSocket)
    , mRequest(std::move(aRequest))
    , mOnPulled(std::move(aOnPulled))
  {
  }

  void OnConnected(bool aSuccess) override
  {
    if (!aSuccess) {
      Finish({});
      return;
    }
    mStream->StartReading();
    mStream->Write(std::move(mRequest));
  }
  void OnBytes(std::string_view aBytes) override { mBytes.append(aBytes); }
  void OnEnd(stream_end aEnd) override
  {
    Finish(aEnd == stream_end::Finished ? std::move(mBytes) : std::string());
  }

private:
  void Finish(std::string aBytes)
  {
    if (!mOnPulled) {
      return;
    }
    const auto onPulled = std::move(mOnPulled);
    mOnPulled = nullptr;
    mPeerSocket.mLoop.Defer([peerSocket = &mPeerSocket, this] {
      peerSocket->mTransfers.erase(this);
    });
    onPulled(std::move(aBytes));
  }

  peer_socket& mPeerSocket;
  std::string mRequest;
  peer_socket::pull_handler mOnPulled;
  std::string mBytes;
};

/** Reads a peer's request, sends it the snapshot and closes. */
class snapshot_push : public snapshot_transfer
{
public:
  explicit snapshot_push(peer_socket& aPeerSocket)
    : snapshot_transfer(aPeerSocket.mLoop, [this] { End(); })
    , mPeerSocket(aPeerSocket)
  {
    ++mPeerSocket.mActivePushes;
  }
  ~snapshot_push() override { --mPeerSocket.mActivePushes; }
  snapshot_push(const snapshot_push&) = delete;
  snapshot_push& operator=(const snapshot_push&) = delete;
  snapshot_push(snapshot_push&&) = delete;
  snapshot_push& operator=(snapshot_push&&) = delete;

  void OnConnected(bool /*aSuccess*/) override {}
  void OnBytes(std::string_view aBytes) override
  {
    if (mAnswered) {
      return;
    }
    mRequest.append(aBytes);
    if (const auto snapshot = mPeerSocket.mSnapshot(mRequest)) {
      mAnswered = true;
      mStream->Write(*snapshot);
      mStream->ShutDown();
    } else if (mRequest.size() > kMaxRequestBytes) {
      End();
    }
  }
  void OnEnd(stream_end /*aEnd*/) override { End(); }

private:
  void End()
  {
    mPeerSocket.mLoop.Defer([peerSocket = &mPeerSocket, this] {
      peerSocket->mTransfers.erase(this);
    });
  }

  peer_socket& mPeerSocket;
  std::string mRequest;
  bool mAnswered = false;
};

peer_socket::peer_socket(event_loop& aLoop,
                         const model::endpoint& aAddress,
                         datagram_handler aOnDatagram,
                         snapshot_source aSnapshot,
                         const ops::log& aLog)
  : mLoop(aLoop)
  , mOnDatagram(std::move(aOnDatagram))
  , mSnapshot(std::move(aSnapshot))
  , mSocket(new uv_udp_t())
  , mListener(
      aLoop,
      aAddress,
      kBacklog,
      [this](std::unique_ptr<tcp_stream> aStream) {
        Accept(std::move(aStream));
      },
      aLog)
{
  uv_udp_init(aLoop.UvLoop(), mSocket);
  mSocket->data = this;
  sockaddr_in address{};
  uv_ip4_addr(aAddress.mAddress.c_str(), aAddress.mPort, &address);
  const int error =
    uv_udp_bind(mSocket, reinterpret_cast<const sockaddr*>(&address), 0);
  if (error != 0) {
    throw gateway_error("cannot bind " + aAddress.ToString() + ": " +
                        uv_strerror(error));
  }
  uv_udp_recv_start(
    mSocket,
    [](uv_handle_t* /*aHandle*/, std::size_t /*aSize*/, uv_buf_t* aBuffer) {
      thread_local std::array<char, kMaxDatagramBytes> sBuffer;
      aBuffer->base = sBuffer.data();
      aBuffer->len = sBuffer.size();
    },
    [](uv_udp_t* aSocket,
       ssize_t aCount,
       const uv_buf_t* aBuffer,
       const sockaddr* aFrom,
       unsigned /*aFlags*/) {
      if (aCount <= 0 || aFrom == nullptr || aSocket->data == nullptr) {
        return;
      }
      const auto& from = *reinterpret_cast<const sockaddr_in*>(aFrom);
      std::array<char, INET_ADDRSTRLEN> text{};
      uv_ip4_name(&from, text.data(), text.size());
      static_cast<peer_socket*>(aSocket->data)
        ->mOnDatagram({ aBuffer->base, static_cast<std::size_t>(aCount) },
                      { text.data(), ntohs(from.sin_port) });
    });
}

peer_socket::~peer_socket()
{
  mSocket->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(mSocket), [](uv_handle_t* aHandle) {
    delete reinterpret_cast<uv_udp_t*>(aHandle);
  });
}

bool
peer_socket::Send(const model::endpoint& aTo, std::string_view aBytes)
{
  sockaddr_in address{};
  if (uv_ip4_addr(aTo.mAddress.c_str(), aTo.mPort, &address) != 0) {
    return false;
  }
  std::string bytes(aBytes);
  uv_buf_t buffer = uv_buf_init(bytes.data(), bytes.size());
  return uv_udp_try_send(
           mSocket, &buffer, 1, reinterpret_cast<const sockaddr*>(&address)) >=
         0;
}

void
peer_socket::Accept(std::unique_ptr<tcp_stream> aStream)
{
  if (mActivePushes >= kMaxPushes) {
    return; // The peer reads an empty snapshot.
  }
  auto push = std::make_shared<snapshot_push>(*this);
  aStream->SetHandler(*push);
  push->mStream = std::move(aStream);
  mTransfers.emplace(push.get(), push);
  push->mStream->StartReading();
}

void
peer_socket::PullSnapshot(const model::endpoint& aFrom,
                          std::string aRequest,
                          pull_handler aOnPulled)
{
  auto pull = std::make_shared<snapshot_pull>(
    *this, std::move(aRequest), std::move(aOnPulled));
  mTransfers.emplace(pull.get(), pull);
  pull->mStream = tcp_stream::Connect(mLoop, aFrom, *pull);
  if (!pull->mStream) {
    mLoop.Defer([pull] { pull->OnConnected(false); });
  }
}

} // namespace monsooncroft::gateway
