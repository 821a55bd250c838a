/**
 * @file tcp_listener.cpp
 * A listening TCP socket.
 */
#include "gateway/tcp_listener_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/gateway_error.h"
#include "gateway/tcp_stream_base.h"
#include "model/endpoint_type.h"
#include "ops/log_base.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <uv.h>

#include <array>

namespace monsooncroft::gateway {

tcp_listener::tcp_listener(event_loop& aLoop,
                           const model::endpoint& aAddress,
                           int aBacklog,
                           accept_handler aOnAccepted,
                           const ops::log& aLog)
  : mLoop(aLoop)
  , mOnAccepted(std::move(aOnAccepted))
  , mLog(aLog)
  , mHandle(new uv_tcp_t())
{
  uv_tcp_init(aLoop.UvLoop(), mHandle);
  mHandle->data = this;
  sockaddr_in address{};
  int error = uv_ip4_addr(aAddress.mAddress.c_str(), aAddress.mPort, &address);
  if (error == 0) {
    error =
      uv_tcp_bind(mHandle, reinterpret_cast<const sockaddr*>(&address), 0);
  }
  if (error == 0) {
    error =
      uv_listen(reinterpret_cast<uv_stream_t*>(mHandle),
                aBacklog,
                [](uv_stream_t* aHandle, int aStatus) {
                  if (aHandle->data != nullptr) {
                    static_cast<tcp_listener*>(aHandle->data)->Accept(aStatus);
                  }
                });
  }
  if (error != 0) {
    Close();
    throw gateway_error("cannot listen on " + aAddress.ToString() + ": " +
                        uv_strerror(error));
  }
}

tcp_listener::~tcp_listener()
{
  Close();
}

void
tcp_listener::Close()
{
  mHandle->data = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(mHandle), [](uv_handle_t* aHandle) {
    delete reinterpret_cast<uv_tcp_t*>(aHandle);
  });
}

model::endpoint
tcp_listener::Address() const
{
  sockaddr_in address{};
  int length = sizeof(address);
  uv_tcp_getsockname(mHandle, reinterpret_cast<sockaddr*>(&address), &length);
  std::array<char, INET_ADDRSTRLEN> text{};
  uv_ip4_name(&address, text.data(), text.size());
  return { text.data(), ntohs(address.sin_port) };
}

void
tcp_listener::Accept(int aStatus)
{
  if (aStatus != 0) {
    LogFailure(uv_strerror(aStatus));
    return;
  }
  auto stream =
    tcp_stream::Accept(mLoop, reinterpret_cast<uv_stream_t*>(mHandle));
  if (stream) {
    mOnAccepted(std::move(stream));
  } else {
    LogFailure("the connection was already closed, or no socket is available");
  }
}

void
tcp_listener::LogFailure(const char* aError) const
{
  mLog.Write(
    ops::log_level::Warning,
    "accept_failed",
    { { "address", Address().ToString() }, { "error", std::string(aError) } });
}

} // namespace monsooncroft::gateway
