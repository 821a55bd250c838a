/**
 * @file tcp_stream.cpp
 * One TCP connection on the event loop.
 */
#include "gateway/tcp_stream_base.h"

#include "gateway/event_loop_base.h"
#include "model/endpoint_type.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <uv.h>

#include <array>
#include <utility>

namespace monsooncroft::gateway {

namespace {

/** Bytes read in one call. All streams of a thread share one buffer, because
 * bytes are handled before the next read. */
constexpr std::size_t kReadBytes = 65'536;
/** TCP user timeout: unacknowledged bytes end a connection after it, since a
 * machine that lost power never responds. Above several retransmissions on a
 * lossy network. */
constexpr unsigned kUserTimeoutMs = 4'000;

struct write_job
{
  uv_write_t mRequest{};
  std::string mBytes;
};

} // namespace

/** Callbacks for libuv; the handle's data is null after the stream is
 * destroyed. */
struct tcp_stream::callbacks
{
  static tcp_stream* Of(void* aHandle)
  {
    return static_cast<tcp_stream*>(static_cast<uv_handle_t*>(aHandle)->data);
  }

  static void OnAllocate(uv_handle_t* /*aHandle*/,
                         std::size_t /*aSuggested*/,
                         uv_buf_t* aBuffer)
  {
    thread_local std::array<char, kReadBytes> sBuffer;
    aBuffer->base = sBuffer.data();
    aBuffer->len = sBuffer.size();
  }

  static void OnRead(uv_stream_t* aStream,
                     ssize_t aCount,
                     const uv_buf_t* aBuffer)
  {
    tcp_stream* self = Of(aStream);
    if (self == nullptr || aCount == 0) {
      return;
    }
    self->mLoop.RecordEvent();
    if (aCount > 0) {
      self->mHandler->OnBytes(
        { aBuffer->base, static_cast<std::size_t>(aCount) });
      return;
    }
    uv_read_stop(aStream);
    self->mHandler->OnEnd(aCount == UV_EOF && EndedInOrder(aStream)
                            ? stream_end::Finished
                            : stream_end::Broken);
  }

  /** Tells an orderly end from a reset by another read: libuv does not read
   * again after a hang-up and reports a reset right after the last bytes as an
   * orderly end. */
  static bool EndedInOrder(uv_stream_t* aStream)
  {
    uv_os_fd_t socket = -1;
    char byte = 0;
    return uv_fileno(reinterpret_cast<uv_handle_t*>(aStream), &socket) == 0 &&
           ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  static void OnWritten(uv_write_t* aRequest, int aStatus)
  {
    const std::unique_ptr<write_job> job(
      static_cast<write_job*>(aRequest->data));
    tcp_stream* self = Of(aRequest->handle);
    if (self != nullptr && aStatus < 0 && aStatus != UV_ECANCELED) {
      self->mHandler->OnEnd(stream_end::Broken);
    }
  }

  static void OnConnect(uv_connect_t* aRequest, int aStatus)
  {
    tcp_stream* self = Of(aRequest->handle);
    delete aRequest;
    if (self != nullptr) {
      self->mLoop.RecordEvent();
      self->mConnecting = false;
      self->mHandler->OnConnected(aStatus == 0);
    }
  }

  static void OnClosed(uv_handle_t* aHandle)
  {
    delete reinterpret_cast<uv_tcp_t*>(aHandle);
  }
};

tcp_stream::tcp_stream(event_loop& aLoop)
  : mLoop(aLoop)
  , mHandle(new uv_tcp_t())
{
  uv_tcp_init(aLoop.UvLoop(), mHandle);
  mHandle->data = this;
}

tcp_stream::~tcp_stream()
{
  mHandle->data = nullptr;
  auto* handle = reinterpret_cast<uv_handle_t*>(mHandle);
  if (mResetOnClose && uv_tcp_close_reset(mHandle, callbacks::OnClosed) == 0) {
    return;
  }
  uv_close(handle, callbacks::OnClosed);
}

std::unique_ptr<tcp_stream>
tcp_stream::Connect(event_loop& aLoop,
                    const model::endpoint& aTo,
                    stream_handler& aHandler)
{
  sockaddr_in address{};
  if (uv_ip4_addr(aTo.mAddress.c_str(), aTo.mPort, &address) != 0) {
    return nullptr;
  }
  std::unique_ptr<tcp_stream> stream(new tcp_stream(aLoop));
  stream->mHandler = &aHandler;
  stream->mConnecting = true;
  auto request = std::make_unique<uv_connect_t>();
  const int failed = uv_tcp_connect(request.get(),
                                    stream->mHandle,
                                    reinterpret_cast<const sockaddr*>(&address),
                                    callbacks::OnConnect);
  if (failed != 0) {
    return nullptr;
  }
  static_cast<void>(request.release());
  uv_tcp_nodelay(stream->mHandle, 1);
  return stream;
}

std::unique_ptr<tcp_stream>
tcp_stream::Accept(event_loop& aLoop, uv_stream_t* aListener)
{
  std::unique_ptr<tcp_stream> stream(new tcp_stream(aLoop));
  if (uv_accept(aListener, reinterpret_cast<uv_stream_t*>(stream->mHandle)) !=
      0) {
    return nullptr;
  }
  uv_tcp_nodelay(stream->mHandle, 1);
  return stream;
}

model::duration
tcp_stream::RoundTrip() const
{
  uv_os_fd_t socket = -1;
  tcp_info info{};
  socklen_t length = sizeof(info);
  const bool known =
    uv_fileno(reinterpret_cast<const uv_handle_t*>(mHandle), &socket) == 0 &&
    ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
  return model::duration(known ? info.tcpi_rtt : 0);
}

void
tcp_stream::StartReading()
{
  uv_os_fd_t socket = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(mHandle), &socket) == 0) {
    ::setsockopt(socket,
                 IPPROTO_TCP,
                 TCP_USER_TIMEOUT,
                 &kUserTimeoutMs,
                 sizeof(kUserTimeoutMs));
  }
  uv_read_start(reinterpret_cast<uv_stream_t*>(mHandle),
                callbacks::OnAllocate,
                callbacks::OnRead);
}

void
tcp_stream::StopReading()
{
  uv_read_stop(reinterpret_cast<uv_stream_t*>(mHandle));
}

void
tcp_stream::Write(std::string aBytes)
{
  auto* stream = reinterpret_cast<uv_stream_t*>(mHandle);
  uv_buf_t buffer = uv_buf_init(aBytes.data(), aBytes.size());
  const int written = uv_try_write(stream, &buffer, 1);
  if (written == static_cast<int>(aBytes.size())) {
    return;
  }
  auto job = std::make_unique<write_job>();
  // After a failed attempt, the queued write repeats it and reports the
  // failure.
  job->mBytes = written > 0 ? aBytes.substr(written) : std::move(aBytes);
  job->mRequest.data = job.get();
  buffer = uv_buf_init(job->mBytes.data(), job->mBytes.size());
  if (uv_write(&job->mRequest, stream, &buffer, 1, callbacks::OnWritten) == 0) {
    static_cast<void>(job.release());
  }
}

void
tcp_stream::ShutDown()
{
  auto request = std::make_unique<uv_shutdown_t>();
  const int failed = uv_shutdown(
    request.get(),
    reinterpret_cast<uv_stream_t*>(mHandle),
    [](uv_shutdown_t* aRequest, int /*aStatus*/) { delete aRequest; });
  if (failed == 0) {
    static_cast<void>(request.release());
  }
}

std::size_t
tcp_stream::PendingBytes() const
{
  return uv_stream_get_write_queue_size(
    reinterpret_cast<const uv_stream_t*>(mHandle));
}

bool
tcp_stream::HasUnreportedEvent() const
{
  pollfd socket{};
  socket.events = mConnecting ? POLLOUT : POLLIN;
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(mHandle), &descriptor) !=
      0) {
    return false;
  }
  socket.fd = descriptor;
  return ::poll(&socket, 1, 0) > 0;
}

} // namespace monsooncroft::gateway
