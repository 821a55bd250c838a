/**
 * @file raw_socket.cpp
 * The system's sockets.
 */
#include "process/raw_socket.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace monsooncroft::process_test {

namespace {

constexpr std::size_t kReadBytes = 4096;
const std::string kHeadEnd = "\r\n\r\n";
const std::string kLengthName = "Content-Length: ";

sockaddr_in
AddressOf(const model::endpoint& aPeer)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPeer.mPort);
  inet_pton(AF_INET, aPeer.mAddress.c_str(), &address.sin_addr);
  return address;
}

bool
IsWhole(const std::string& aResponse)
{
  const auto head = aResponse.find(kHeadEnd);
  const auto length = aResponse.find(kLengthName);
  if (head == std::string::npos || length > head) {
    return false;
  }
  const auto bytes =
    std::strtoul(aResponse.c_str() + length + kLengthName.size(), nullptr, 10);
  return aResponse.size() >= head + kHeadEnd.size() + bytes;
}

} // namespace

raw_socket::raw_socket(const model::endpoint& aPeer)
  : mDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const auto address = AddressOf(aPeer);
  const auto* plain = reinterpret_cast<const sockaddr*>(&address);
  if (connect(mDescriptor, plain, sizeof(address)) != 0) {
    close(mDescriptor);
    throw std::system_error(errno, std::generic_category(), "connect");
  }
}

raw_socket::raw_socket(raw_socket&& aOther) noexcept
  : mDescriptor(aOther.mDescriptor)
{
  aOther.mDescriptor = -1;
}

raw_socket::~raw_socket()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

bool
raw_socket::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count = send(
      mDescriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void
raw_socket::EndSending()
{
  shutdown(mDescriptor, SHUT_WR);
}

std::string
raw_socket::Read(std::chrono::milliseconds aLongest) const
{
  const auto end = std::chrono::steady_clock::now() + aLongest;
  std::string got;
  std::array<char, kReadBytes> chunk{};
  while (!IsWhole(got)) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      end - std::chrono::steady_clock::now());
    pollfd waiting{ mDescriptor, POLLIN, 0 };
    if (left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    const auto count = recv(mDescriptor, chunk.data(), chunk.size(), 0);
    if (count <= 0) {
      break;
    }
    got.append(chunk.data(), static_cast<std::size_t>(count));
  }
  return got;
}

std::string
Exchange(const model::endpoint& aPeer, const std::string& aBytes)
{
  raw_socket socket(aPeer);
  socket.Send(aBytes);
  return socket.Read();
}

std::string
PostText(const std::string& aTarget, const std::string& aBody)
{
  return "POST " + aTarget + " HTTP/1.1\r\nHost: x\r\n" + kLengthName +
         std::to_string(aBody.size()) + kHeadEnd + aBody;
}

int
StatusOf(const std::string& aResponse)
{
  const auto space = aResponse.find(' ');
  return space == std::string::npos ? 0
                                    : std::atoi(aResponse.c_str() + space + 1);
}

void
SendDatagram(const model::endpoint& aPeer, const std::string& aBytes)
{
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const auto address = AddressOf(aPeer);
  sendto(descriptor,
         aBytes.data(),
         aBytes.size(),
         0,
         reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
  close(descriptor);
}

} // namespace monsooncroft::process_test
