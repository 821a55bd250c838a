/**
 * @file http_reader.cpp
 * Incremental HTTP/1.1 parser, based on http_parser.
 */
#include "http/http_reader_base.h"

#include "http/response_syntax_base.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <limits>

namespace monsooncroft::http {

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

const std::string*
http_message::Find(std::string_view aName) const
{
  for (const http_field& field : mFields) {
    if (field.mName.size() == aName.size() &&
        EqualsIgnoreCase(field.mName, aName)) {
      return &field.mValue;
    }
  }
  return nullptr;
}

namespace {

/** The library's limit; above the configured ones, which CountHead() checks. */
constexpr std::size_t kLibraryMaxHeadBytes = 1U << 20U;

/** Statuses whose responses end with their heads, whatever the fields say. */
bool
IsWithoutBody(unsigned aStatus)
{
  return aStatus / 100 == 1 || aStatus == 204 || aStatus == 304;
}

void
TrimEnd(std::string& aValue)
{
  const auto last = aValue.find_last_not_of(" \t");
  aValue.resize(last == std::string::npos ? 0 : last + 1);
}

/** What is wrong with the fields that delimit a response's body; null if they
 * are sound. The library ignores codings that it does not know. */
const char*
FramingDefect(const http_message& aHead, unsigned aHttpMinor)
{
  int codings = 0;
  int lengths = 0;
  for (const http_field& field : aHead.mFields) {
    if (EqualsIgnoreCase(field.mName, "Content-Length")) {
      ++lengths;
      const bool isNumber =
        !field.mValue.empty() &&
        field.mValue.find_first_not_of("0123456789") == std::string::npos;
      if (!isNumber) {
        return "invalid Content-Length";
      }
    } else if (EqualsIgnoreCase(field.mName, "Transfer-Encoding")) {
      ++codings;
      if (!EqualsIgnoreCase(field.mValue, "chunked")) {
        return "transfer coding other than chunked";
      }
    }
  }
  if (lengths + codings > 1) {
    return "more than one length of the body";
  }
  const bool mayBeChunked =
    aHttpMinor > 0 && aHead.mStatus / 100 != 1 && aHead.mStatus != 204;
  return codings > 0 && !mayBeChunked ? "transfer coding not allowed" : nullptr;
}

} // namespace

/** The library's parser and the message read so far. */
struct http_reader::parser
{
  ::http_parser mParser{};
  response_syntax mSyntax; ///< Responses only.
  http_parser_settings mSettings{};
  http_message mMessage;
  state mState = state::Empty;
  std::size_t mHeadBytes = 0;
  std::size_t mHeadLimit = kLibraryMaxHeadBytes;
  std::size_t mBodyLimit = std::numeric_limits<std::size_t>::max();
  bool mInValue = false;
  bool mNoBody = false;
  const char* mDefect = "";

  static parser& Of(::http_parser* aParser)
  {
    return *static_cast<parser*>(aParser->data);
  }

  int CountHead(std::size_t aLength)
  {
    mHeadBytes += aLength;
    return mHeadBytes > mHeadLimit ? Fail(state::HeadTooLarge, "head too large")
                                   : 0;
  }

  /** @return The result of a callback that ends the parsing. */
  int Fail(state aState, const char* aDefect)
  {
    mState = aState;
    mDefect = aDefect;
    return -1;
  }

  /** Whether the fields being read are behind the body of a response. Their
   * sender cannot rely on a recipient that merges them with the head's. */
  bool InTrailer() const
  {
    return mState == state::Body && mParser.type == HTTP_RESPONSE;
  }

  static int OnBegin(::http_parser* aParser)
  {
    Of(aParser).mState = state::Head;
    return 0;
  }

  static int OnTarget(::http_parser* aParser, const char* aAt, size_t aLength)
  {
    parser& self = Of(aParser);
    self.mMessage.mTarget.append(aAt, aLength);
    return self.CountHead(aLength);
  }

  static int OnField(::http_parser* aParser, const char* aAt, size_t aLength)
  {
    parser& self = Of(aParser);
    if (self.InTrailer()) {
      return self.CountHead(aLength);
    }
    if (self.mInValue || self.mMessage.mFields.empty()) {
      self.mMessage.mFields.emplace_back();
      self.mInValue = false;
    }
    self.mMessage.mFields.back().mName.append(aAt, aLength);
    return self.CountHead(aLength);
  }

  static int OnValue(::http_parser* aParser, const char* aAt, size_t aLength)
  {
    parser& self = Of(aParser);
    if (self.InTrailer()) {
      return self.CountHead(aLength + 4);
    }
    self.mInValue = true;
    self.mMessage.mFields.back().mValue.append(aAt, aLength);
    return self.CountHead(aLength + 4);
  }

  static int OnHead(::http_parser* aParser)
  {
    parser& self = Of(aParser);
    self.mMessage.mStatus = aParser->status_code;
    self.mMessage.mKeepAlive = http_should_keep_alive(aParser) != 0;
    // No upgrade is ever accepted, so the following bytes are still HTTP.
    aParser->upgrade = 0;
    if (aParser->type == HTTP_REQUEST) {
      self.mMessage.mMethod =
        http_method_str(static_cast<http_method>(aParser->method));
    } else if (const char* defect = self.FinishResponseHead()) {
      return self.Fail(state::Malformed, defect);
    }
    const bool hasLength =
      aParser->content_length != std::numeric_limits<std::uint64_t>::max();
    if (hasLength && !self.mNoBody &&
        aParser->content_length > self.mBodyLimit) {
      return self.Fail(state::BodyTooLarge, "body too large");
    }
    self.mState = state::Body;
    return self.mNoBody ? 1 : 0;
  }

  /** @return What is wrong with the head, if anything. */
  const char* FinishResponseHead()
  {
    for (http_field& field : mMessage.mFields) {
      TrimEnd(field.mValue);
    }
    if (const char* defect = FramingDefect(mMessage, mParser.http_minor)) {
      return defect;
    }
    mNoBody = mNoBody || IsWithoutBody(mParser.status_code);
    mMessage.mCloseDelimited = NeedsEof(&mParser) != 0 && !mNoBody;
    mSyntax.BeginBody((mParser.flags & F_CHUNKED) != 0);
    return nullptr;
  }

  static int OnBody(::http_parser* aParser, const char* aAt, size_t aLength)
  {
    parser& self = Of(aParser);
    self.mMessage.mBody.append(aAt, aLength);
    return self.mMessage.mBody.size() > self.mBodyLimit
             ? self.Fail(state::BodyTooLarge, "body too large")
             : 0;
  }

  static int OnComplete(::http_parser* aParser)
  {
    Of(aParser).mState = state::Complete;
    http_parser_pause(aParser, 1);
    return 0;
  }

  /** Whether the body ends with the stream. As http_message_needs_eof(), usable
   * before the library has decided. */
  static int NeedsEof(const ::http_parser* aParser)
  {
    const bool framed =
      (aParser->flags & F_CHUNKED) != 0 ||
      aParser->content_length != std::numeric_limits<std::uint64_t>::max();
    return !IsWithoutBody(aParser->status_code) && !framed ? 1 : 0;
  }
};

http_reader::http_reader(role aRole)
  : mParser(std::make_unique<parser>())
{
  static const bool kLimitSet = [] {
    http_parser_set_max_header_size(kLibraryMaxHeadBytes);
    return true;
  }();
  static_cast<void>(kLimitSet);
  http_parser_init(&mParser->mParser,
                   aRole == role::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  mParser->mParser.data = mParser.get();
  http_parser_settings& settings = mParser->mSettings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = parser::OnBegin;
  settings.on_url = parser::OnTarget;
  settings.on_header_field = parser::OnField;
  settings.on_header_value = parser::OnValue;
  settings.on_headers_complete = parser::OnHead;
  settings.on_body = parser::OnBody;
  settings.on_message_complete = parser::OnComplete;
}

http_reader::~http_reader() = default;

void
http_reader::SetLimits(std::size_t aHeadBytes, std::size_t aBodyBytes)
{
  mParser->mHeadLimit = aHeadBytes;
  mParser->mBodyLimit = aBodyBytes;
}

void
http_reader::ExpectNoBody(bool aNoBody)
{
  mParser->mNoBody = aNoBody;
}

std::size_t
http_reader::Feed(std::string_view aBytes)
{
  if (mParser->mParser.type == HTTP_REQUEST) {
    return FeedParser(aBytes);
  }
  std::size_t consumed = 0;
  while (consumed < aBytes.size() && mParser->mState < state::Complete) {
    response_syntax& syntax = mParser->mSyntax;
    const std::string_view rest = aBytes.substr(consumed);
    const std::size_t conforming = syntax.Check(rest);
    consumed += FeedParser(rest.substr(0, conforming));
    if (mParser->mState >= state::Complete) {
      break;
    }
    if (const char* defect = syntax.Defect()) {
      mParser->Fail(state::Malformed, defect);
    } else if (conforming == 0) { // The library expects more than the check.
      mParser->Fail(state::Malformed, "no end of the message");
    }
  }
  return consumed;
}

std::size_t
http_reader::FeedParser(std::string_view aBytes)
{
  const state before = mParser->mState;
  if (before == state::Complete || before >= state::Malformed ||
      aBytes.empty()) {
    return 0;
  }
  const std::size_t consumed = http_parser_execute(
    &mParser->mParser, &mParser->mSettings, aBytes.data(), aBytes.size());
  const auto error = HTTP_PARSER_ERRNO(&mParser->mParser);
  if (mParser->mState == state::Complete || error == HPE_OK ||
      mParser->mState >= state::Malformed) {
    return consumed;
  }
  mParser->Fail(error == HPE_HEADER_OVERFLOW ? state::HeadTooLarge
                                             : state::Malformed,
                http_errno_description(error));
  return consumed;
}

void
http_reader::FeedEof()
{
  if (mParser->mState == state::Body && mParser->mMessage.mCloseDelimited) {
    http_parser_execute(&mParser->mParser, &mParser->mSettings, nullptr, 0);
  }
}

http_reader::state
http_reader::State() const
{
  return mParser->mState;
}

const char*
http_reader::Defect() const
{
  return mParser->mDefect;
}

bool
http_reader::HeadIsFinal() const
{
  const bool chunked = (mParser->mParser.flags & F_CHUNKED) != 0;
  return mParser->mState == state::Complete ||
         (mParser->mState == state::Body && !chunked);
}

http_message&
http_reader::Message()
{
  return mParser->mMessage;
}

void
http_reader::NextMessage()
{
  const auto type = static_cast<http_parser_type>(mParser->mParser.type);
  // A close-delimited response leaves the library's parser in its dead state, a
  // malformed one in an error state in which it must not be resumed.
  http_parser_init(&mParser->mParser, type);
  mParser->mSyntax = {};
  mParser->mDefect = "";
  mParser->mMessage = {};
  mParser->mState = state::Empty;
  mParser->mHeadBytes = 0;
  mParser->mInValue = false;
  mParser->mNoBody = false;
}

} // namespace monsooncroft::http
