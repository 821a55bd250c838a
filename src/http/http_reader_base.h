/**
 * @file http_reader_base.h
 * Incremental HTTP/1.1 parser.
 */
#ifndef MONSOONCROFT_HTTP_HTTP_READER_BASE_H
#define MONSOONCROFT_HTTP_HTTP_READER_BASE_H

#include "http/http_message_type.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace monsooncroft::http {

/** Parses the messages of one connection in order. A response must conform to
 * the grammar of RFC 9112; its fields must not be used if it turns out not to.
 */
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
    Empty,     ///< No byte of the next message has arrived.
    Head,      ///< The head is incomplete.
    Body,      ///< The body is incomplete.
    Complete,  ///< A message is available; see NextMessage().
    Malformed, ///< Not valid HTTP; see Defect().
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
  /** Whether the next response has no body, as for HEAD. */
  void ExpectNoBody(bool aNoBody);
  /**
   * Consumes bytes up to the end of a message.
   * @return Number of bytes consumed.
   */
  std::size_t Feed(std::string_view aBytes);
  /** Handles an orderly end of the stream: completes a response without a
   * length. */
  void FeedEof();
  state State() const;
  /** What is wrong with a message that cannot be read; empty if nothing is. */
  const char* Defect() const;
  /** Whether the head is complete and the message can no longer turn out to be
   * malformed. A body in chunks can, until its end. */
  bool HeadIsFinal() const;
  http_message& Message();
  void NextMessage(); ///< Drops the complete message and starts the next one.

private:
  struct parser;

  /** Passes bytes to the library. @return Number of bytes consumed. */
  std::size_t FeedParser(std::string_view aBytes);

  std::unique_ptr<parser> mParser;
};

} // namespace monsooncroft::http

#endif
