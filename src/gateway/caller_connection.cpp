/**
 * @file caller_connection.cpp
 * One HTTP/1.1 connection from a caller.
 */
#include "gateway/caller_connection_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/tcp_stream_base.h"
#include "gateway/uv_http_server_base.h"

namespace monsooncroft::gateway {

namespace {

/** Bytes of pipelined requests that are buffered before reading pauses. */
constexpr std::size_t kMaxUnreadBytes = 65'536;
/** Time for the caller to close after this side has shut down its writes;
 * covers a round trip. */
constexpr std::chrono::milliseconds kCloseTimeout{ 1'000 };
/** Time to receive a whole body: several times what the largest one needs on a
 * slow network. */
constexpr std::chrono::milliseconds kBodyTimeout{ 10'000 };

} // namespace

void
exchange::Respond(const http_response& aResponse)
{
  if (mConnection != nullptr) {
    mOnCallerLeft = nullptr;
    mOnStop = nullptr;
    mOnSupplement = nullptr;
    mConnection->Respond(aResponse);
  }
}

void
exchange::SendProcessing(const std::vector<http_field>& aFields)
{
  if (mConnection != nullptr) {
    mConnection->SendProcessing(aFields);
  }
}

void
exchange::Supplement(const http_message& aMessage)
{
  // A copy, since an answer resets the handler.
  if (const auto handler = mOnSupplement) {
    handler(aMessage);
  }
}

void
exchange::Detach()
{
  mConnection = nullptr;
  mOnStop = nullptr;
  EndWait();
}

void
exchange::EndWait()
{
  if (mOnCallerLeft) {
    const auto handler = std::move(mOnCallerLeft);
    mOnCallerLeft = nullptr;
    handler();
  }
}

caller_connection::caller_connection(uv_http_server& aServer,
                                     std::unique_ptr<tcp_stream> aStream,
                                     model::instant aNow)
  : mServer(aServer)
  , mStream(std::move(aStream))
  , mReader(http_reader::role::Requests)
  , mStateSince(aNow)
  , mRoundTrip(mStream->RoundTrip())
{
  mStream->SetHandler(*this);
  mStream->StartReading();
}

caller_connection::~caller_connection()
{
  if (mExchange) {
    mExchange->Detach();
  }
}

void
caller_connection::OnConnected(bool /*aSuccess*/)
{
}

void
caller_connection::OnBytes(std::string_view aBytes)
{
  if (mLingering || mRetired) {
    return;
  }
  mUnread.append(aBytes);
  if (!mExchange) {
    ParseRequest();
    return;
  }
  if (mServer.Handler().HasSupplements()) {
    ReadAhead();
  }
  if (mUnread.size() > kMaxUnreadBytes) {
    mStream->StopReading();
    mReadingPaused = true;
  }
}

void
caller_connection::ReadAhead()
{
  while (mExchange && !mUnread.empty() &&
         mReader.State() < http_reader::state::Complete) {
    mUnread.erase(0, mReader.Feed(mUnread));
    if (mReader.State() == http_reader::state::Complete) {
      TakeSupplement();
    }
  }
}

bool
caller_connection::TakeSupplement()
{
  if (!mServer.Handler().IsSupplement(mReader.Message())) {
    return false;
  }
  const http_message message = std::move(mReader.Message());
  mReader.NextMessage();
  mHeadStarted = false;
  // The request may have been answered meanwhile. The handler may answer, which
  // resets mExchange.
  if (const exchange_ptr current = mExchange) {
    current->Supplement(message);
  }
  return true;
}

void
caller_connection::ParseRequest()
{
  const serving::caller_limits& limits = mServer.Limits();
  mReader.SetLimits(limits.mMaxHeaderBytes, limits.mMaxBodyBytes);
  const std::size_t consumed = mReader.Feed(mUnread);
  mUnread.erase(0, consumed);
  const model::instant now = event_loop::Now();
  switch (mReader.State()) {
    case http_reader::state::Empty:
      return;
    case http_reader::state::Head:
      if (!mHeadStarted) {
        mHeadStarted = true;
        mStateSince = now;
      }
      return;
    case http_reader::state::Body:
      SendContinue();
      return;
    case http_reader::state::Malformed:
      return Refuse(400);
    case http_reader::state::HeadTooLarge:
      return Refuse(431);
    case http_reader::state::BodyTooLarge:
      return Refuse(413);
    case http_reader::state::Complete:
      if (!TakeSupplement()) {
        break;
      }
      if (!mUnread.empty()) {
        ParseRequest();
      }
      return;
  }
  mHeadStarted = false;
  mExpectHandled = false;
  mExchange =
    std::make_shared<exchange>(*this,
                               std::move(mReader.Message()),
                               now,
                               mFirstRequest ? 2 * mRoundTrip : mRoundTrip);
  mFirstRequest = false;
  mReader.NextMessage();
  // The handler may answer synchronously, which resets mExchange.
  const exchange_ptr current = mExchange;
  mServer.Handler().OnRequest(current);
}

void
caller_connection::SendContinue()
{
  if (!mHeadStarted) {
    mHeadStarted = true;
    mStateSince = event_loop::Now();
  }
  if (mExpectHandled) {
    return;
  }
  mExpectHandled = true;
  const std::string* expect = mReader.Message().Find("Expect");
  if (expect != nullptr && EqualsIgnoreCase(*expect, "100-continue")) {
    mStream->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void
caller_connection::SendProcessing(const std::vector<http_field>& aFields)
{
  std::string text = "HTTP/1.1 102 Processing\r\n";
  for (const http_field& field : aFields) {
    text.append(field.mName).append(": ").append(field.mValue).append("\r\n");
  }
  mStream->Write(text.append("\r\n"));
}

void
caller_connection::Refuse(int aStatus)
{
  mStream->Write(Serialize({ aStatus, {}, {} }, false, true));
  CloseGracefully();
}

void
caller_connection::Respond(const http_response& aResponse)
{
  const exchange_ptr answered = std::move(mExchange);
  mExchange = nullptr;
  answered->mConnection = nullptr;
  const bool close =
    !answered->Request().mKeepAlive || mServer.CloseAfterAnswer();
  const bool noBody = answered->Request().mMethod == "HEAD";
  mStream->Write(Serialize(aResponse, noBody, close));
  mStateSince = event_loop::Now();
  if (close) {
    CloseGracefully();
    return;
  }
  if (mReadingPaused) {
    mReadingPaused = false;
    mStream->StartReading();
  }
  if (!mUnread.empty() || mReader.State() == http_reader::state::Complete) {
    // Deferred, since the handler that answered is still on the stack.
    mServer.Loop().Defer([server = &mServer, this] {
      if (server->HasConnection(*this) && !mExchange && !mLingering) {
        ParseRequest();
      }
    });
  }
}

void
caller_connection::AnswerAtStop(stop_answers aWhich)
{
  // The handlers may answer, which resets mExchange.
  const exchange_ptr current = mExchange;
  if (!current) {
    return;
  }
  if (const auto handler = current->mOnStop) {
    handler(aWhich);
    return;
  }
  // Ends the wait first, so that the request is not passed on after its answer.
  current->EndWait();
  mServer.Handler().RefuseAtStop(current);
}

void
caller_connection::CloseGracefully()
{
  if (mLingering) {
    return;
  }
  mLingering = true;
  mStateSince = event_loop::Now();
  mUnread.clear();
  if (mReadingPaused) {
    mReadingPaused = false;
    mStream->StartReading();
  }
  mStream->ShutDown();
}

void
caller_connection::OnEnd(stream_end aEnd)
{
  if (aEnd == stream_end::Broken) {
    mStream->ResetOnClose();
  }
  Retire();
}

bool
caller_connection::Idle() const
{
  return !mExchange && !mLingering && mUnread.empty() &&
         mReader.State() == http_reader::state::Empty;
}

void
caller_connection::OnTick(model::instant aNow)
{
  const serving::caller_limits& limits = mServer.Limits();
  const auto waited = aNow - mStateSince;
  if (mLingering) {
    if (waited > kCloseTimeout) {
      Retire();
    }
    return;
  }
  if (mExchange) {
    return;
  }
  const bool slowHead = mReader.State() == http_reader::state::Head &&
                        waited > limits.mHeaderTimeout;
  const bool slowBody =
    mReader.State() == http_reader::state::Body && waited > kBodyTimeout;
  if (slowHead || slowBody) {
    Refuse(408);
  } else if (Idle() && waited > limits.mIdleTimeout) {
    CloseGracefully();
  }
}

void
caller_connection::Retire()
{
  if (!mRetired) {
    mRetired = true;
    if (mExchange) {
      const exchange_ptr abandoned = std::move(mExchange);
      mExchange = nullptr;
      abandoned->Detach();
    }
    mServer.RemoveConnection(*this);
  }
}

} // namespace monsooncroft::gateway
