/**
 * @file http_channel.cpp
 * Sequential calls to one HTTP server.
 */
#include "gateway/http_channel_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/tcp_stream_base.h"

namespace monsooncroft::gateway {

http_channel::http_channel(event_loop& aLoop, model::endpoint aServer)
  : mLoop(aLoop)
  , mServer(std::move(aServer))
  , mReader(http_reader::role::Responses)
  , mTimer(aLoop, [this] { Finish(std::nullopt, false); })
{
}

http_channel::~http_channel() = default;

void
http_channel::SetServer(const model::endpoint& aServer)
{
  if (mServer != aServer) {
    mServer = aServer;
    Finish(std::nullopt, false);
  }
}

void
http_channel::Cancel()
{
  if (Busy()) {
    Finish(std::nullopt, false);
  }
}

void
http_channel::Call(std::string aRequest,
                   model::duration aTimeout,
                   response_handler aOnResponse,
                   interim_handler aOnInterim)
{
  mOnResponse = std::move(aOnResponse);
  mOnInterim = std::move(aOnInterim);
  mSentAt.reset();
  mDefect = "";
  mTimer.Start(aTimeout);
  if (mStream && mConnected) {
    mSentAt = event_loop::Now();
    mStream->Write(std::move(aRequest));
    return;
  }
  mPendingRequest = std::move(aRequest);
  mConnected = false;
  mStream = tcp_stream::Connect(mLoop, mServer, *this);
  if (!mStream) {
    mTimer.Start(model::duration(0));
  }
}

void
http_channel::SendMore(std::string aBytes)
{
  if (Busy() && mStream && mConnected) {
    mStream->Write(std::move(aBytes));
  }
}

bool
http_channel::HasUnreportedEvent() const
{
  return mStream && mStream->HasUnreportedEvent();
}

void
http_channel::OnConnected(bool aSuccess)
{
  if (!aSuccess) {
    Finish(std::nullopt, false);
    return;
  }
  mConnected = true;
  mSentAt = event_loop::Now();
  mStream->StartReading();
  mStream->Write(std::move(mPendingRequest));
  mPendingRequest.clear();
}

void
http_channel::OnBytes(std::string_view aBytes)
{
  if (!mOnResponse) {
    DropConnection();
    return;
  }
  std::size_t consumed = mReader.Feed(aBytes);
  while (mReader.State() == http_reader::state::Complete &&
         mReader.Message().mStatus / 100 == 1) {
    const http_message interim = std::move(mReader.Message());
    mReader.NextMessage();
    aBytes.remove_prefix(consumed);
    consumed = mReader.Feed(aBytes);
    if (mOnInterim) {
      mOnInterim(interim);
    }
  }
  if (mReader.State() >= http_reader::state::Malformed) {
    mDefect = mReader.Defect();
    Finish(std::nullopt, false);
  } else if (mReader.State() == http_reader::state::Complete) {
    http_message answer = std::move(mReader.Message());
    mReader.NextMessage();
    const bool reusable = answer.mKeepAlive && consumed == aBytes.size();
    Finish(std::move(answer), reusable);
  }
}

void
http_channel::OnEnd(stream_end aEnd)
{
  if (aEnd == stream_end::Finished) {
    mReader.FeedEof();
    if (mReader.State() == http_reader::state::Complete) {
      Finish(std::move(mReader.Message()), false);
      return;
    }
  }
  Finish(std::nullopt, false);
}

void
http_channel::Finish(std::optional<http_message> aAnswer, bool aReusable)
{
  mTimer.Stop();
  if (!aReusable) {
    DropConnection();
  }
  if (mOnResponse) {
    const response_handler handler = std::move(mOnResponse);
    mOnResponse = nullptr;
    handler(std::move(aAnswer));
  }
}

void
http_channel::DropConnection()
{
  mConnected = false;
  mReader.NextMessage();
  mStream.reset(); // Safe within the stream's own callback.
}

} // namespace monsooncroft::gateway
