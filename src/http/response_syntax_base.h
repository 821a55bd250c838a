/**
 * @file response_syntax_base.h
 * Strict syntax check of HTTP/1.1 responses.
 */
#ifndef MONSOONCROFT_HTTP_RESPONSE_SYNTAX_BASE_H
#define MONSOONCROFT_HTTP_RESPONSE_SYNTAX_BASE_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace monsooncroft::http {

/**
 * Checks all of a response but the data of its body against the grammar of RFC
 * 9112, byte by byte. http_parser accepts more, such as blanks in names, and
 * then reads a message whose body ends elsewhere.
 */
class response_syntax
{
public:
  /**
   * Checks the next bytes of a response.
   * @return How many of them conform. Fewer than given at the end of the head,
   * at the end of a body in chunks, and before a defect.
   */
  std::size_t Check(std::string_view aBytes);
  /** What is wrong with the byte behind the last one that conforms; null if
   * there is no defect. */
  const char* Defect() const { return mDefect; }
  /** Sets the framing of the body. Bytes of a body that is not sent in chunks
   * are not checked. */
  void BeginBody(bool aChunked);

private:
  /** What the next byte belongs to. */
  enum class place : std::uint8_t
  {
    Version,
    Status,
    StatusEnd, ///< The byte behind the status.
    Reason,
    LineFeed, ///< The end of a line; mAfterLine follows.
    FieldStart,
    FieldName,
    FieldValue,
    EndOfHead,
    Body, ///< Not in chunks.
    ChunkSizeStart,
    ChunkSize,
    SemicolonOnly, ///< Behind blanks that follow a size or an extension.
    ExtensionStart,
    ExtensionName,
    ExtensionNameEnd, ///< Blanks behind the name.
    ExtensionValueStart,
    ExtensionToken,
    ExtensionQuoted,
    ExtensionEscaped, ///< Behind a backslash.
    ExtensionEnd,     ///< Behind a quoted value.
    ChunkData,
    ChunkDataEnd,
    EndOfBody,
  };

  /** @return Whether the byte conforms. */
  bool CheckByte(unsigned char aByte);
  bool CheckStatusLine(unsigned char aByte);
  bool CheckField(unsigned char aByte);
  bool CheckChunkSize(unsigned char aByte);
  bool CheckExtension(unsigned char aByte);
  /** Checks a byte behind a chunk's size or a complete extension. */
  bool EndChunkItem(unsigned char aByte);
  bool Fail(const char* aDefect);
  bool GoTo(place aNext);
  /** Expects the line feed behind a carriage return. */
  bool EndLine(place aNext);

  place mPlace = place::Version;
  place mAfterLine = place::Version;
  std::size_t mOffset = 0; ///< In the version or the status.
  std::uint64_t mChunkRemaining = 0;
  bool mInTrailer = false;
  const char* mDefect = nullptr;
};

} // namespace monsooncroft::http

#endif
