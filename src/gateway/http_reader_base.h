/**
 * @file http_reader_base.h
 * Parsing HTTP/1.1 as it arrives.
 */
#ifndef MONSOONCROFT_GATEWAY_HTTP_READER_BASE_H
#define MONSOONCROFT_GATEWAY_HTTP_READER_BASE_H

#include "gateway/http_message_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace monsooncroft::gateway {

/** Reads one message after the other from a connection's bytes. */
class http_reader
{
public:
  enum class role : std::uint8_t
  {
    Requests,
    Responses,
  };
  enum class state : std::uint8_t
  {
    Empty,     ///< Nothing of the next message has arrived.
    Head,      ///< In the head.
    Body,      ///< In the body.
    Complete,  ///< A message is there; Next() goes on.
    Malformed, ///< No HTTP.
    HeadTooLarge,
    BodyTooLarge,
  };

  explicit http_reader(role aRole);
  ~http_reader();
  http_reader(const http_reader&) = delete;
  http_reader& operator=(const http_reader&) = delete;
  http_reader(http_reader&&) = delete;
  http_reader& operator=(http_reader&&) = delete;

  void SetLimits(std::size_t aHeadBytes, std::size_t aBodyBytes);
  /** The next response answers HEAD and has no body. */
  void ExpectNoBody(bool aNoBody);
  /**
   * Takes bytes up to the end of a message.
   * @return How many were taken.
   */
  std::size_t Feed(std::string_view aBytes);
  /** The stream ended in order: completes a response without a length. */
  void FeedEof();
  state State() const;
  http_message& Message();
  void NextMessage(); ///< Drops the complete message.

private:
  struct parser;

  std::unique_ptr<parser> mParser;
};

} // namespace monsooncroft::gateway

#endif
