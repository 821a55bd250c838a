/**
 * @file raw_socket.h
 * Bytes to a listener, as no HTTP library would send them.
 */
#ifndef MONSOONCROFT_TEST_PROCESS_RAW_SOCKET_H
#define MONSOONCROFT_TEST_PROCESS_RAW_SOCKET_H

#include "model/endpoint_type.h"

#include <chrono>
#include <string>

namespace monsooncroft::process_test {

/** One blocking TCP connection. */
class raw_socket
{
public:
  explicit raw_socket(const model::endpoint& aPeer); ///< Connects.
  raw_socket(raw_socket&& aOther) noexcept;
  raw_socket& operator=(raw_socket&&) = delete;
  raw_socket(const raw_socket&) = delete;
  raw_socket& operator=(const raw_socket&) = delete;
  ~raw_socket();

  bool Send(const std::string& aBytes); ///< False once the other end closed.
  void EndSending();                    ///< Half-closes the connection.

  /**
   * Reads until a whole response came, or the other end closes.
   * @param aLongest Longest wait; what came until then is returned.
   */
  std::string Read(
    std::chrono::milliseconds aLongest = std::chrono::milliseconds(8000)) const;

private:
  int mDescriptor;
};

/** Sends bytes on a fresh connection and reads the reply. */
std::string
Exchange(const model::endpoint& aPeer, const std::string& aBytes);

/** The text of a POST with a body. */
std::string
PostText(const std::string& aTarget, const std::string& aBody);

/** Status of a response; 0 if there is none. */
int
StatusOf(const std::string& aResponse);

/** Sends datagrams to an address. */
void
SendDatagram(const model::endpoint& aPeer, const std::string& aBytes);

} // namespace monsooncroft::process_test

#endif
