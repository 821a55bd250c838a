/**
 * @file datagram_socket.cpp
 * UDP over POSIX sockets.
 */
#include "peer/datagram_socket_base.h"

#include "net/net_error.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace monsooncroft::peer {

namespace {

constexpr std::size_t kReceiveBufferBytes = 65'536;

sockaddr_in
ToSocketAddress(const model::endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.mPort);
  inet_pton(AF_INET, aEndpoint.mAddress.c_str(), &address.sin_addr);
  return address;
}

model::endpoint
ToEndpoint(const sockaddr_in& aAddress)
{
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &aAddress.sin_addr, text.data(), text.size());
  return { text.data(), ntohs(aAddress.sin_port) };
}

/** A UDP socket that owns its file descriptor. */
class system_socket : public datagram_socket
{
public:
  explicit system_socket(const model::endpoint& aLocal)
    : mDescriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
  {
    const auto address = ToSocketAddress(aLocal);
    const auto* socketAddress = reinterpret_cast<const sockaddr*>(&address);
    if (mDescriptor < 0 ||
        bind(mDescriptor, socketAddress, sizeof(address)) != 0) {
      CloseDescriptor();
      throw net::net_error("cannot bind UDP " + aLocal.ToString());
    }
  }
  ~system_socket() override { CloseDescriptor(); }
  system_socket(const system_socket&) = delete;
  system_socket& operator=(const system_socket&) = delete;

  void Send(const model::endpoint& aTo, const std::string& aBytes) override
  {
    const auto address = ToSocketAddress(aTo);
    sendto(mDescriptor,
           aBytes.data(),
           aBytes.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address));
  }

  std::optional<datagram> Receive(std::chrono::milliseconds aWait) override
  {
    pollfd pollRequest{ mDescriptor, POLLIN, 0 };
    if (poll(&pollRequest, 1, static_cast<int>(aWait.count())) <= 0) {
      return std::nullopt;
    }
    std::string bytes(kReceiveBufferBytes, '\0');
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const auto size = recvfrom(mDescriptor,
                               bytes.data(),
                               bytes.size(),
                               MSG_DONTWAIT,
                               reinterpret_cast<sockaddr*>(&from),
                               &length);
    if (size < 0) {
      return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size));
    return datagram{ ToEndpoint(from), std::move(bytes) };
  }

private:
  void CloseDescriptor()
  {
    if (mDescriptor >= 0) {
      close(mDescriptor);
    }
  }

  int mDescriptor;
};

} // namespace

std::unique_ptr<datagram_socket>
datagram_socket::Bind(const model::endpoint& aLocal)
{
  return std::make_unique<system_socket>(aLocal);
}

} // namespace monsooncroft::peer
