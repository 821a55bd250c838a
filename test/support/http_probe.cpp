/**
 * @file http_probe.cpp
 * The client over Boost.Beast.
 */
#include "support/http_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <thread>

namespace monsooncroft::test_support {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using error_code = boost::system::error_code;

constexpr int kHttpVersion = 11;
constexpr int kHttpOk = 200;
constexpr std::chrono::milliseconds kPollPeriod{ 10 };

probe_end
EndOf(const error_code& aError)
{
  if (aError == asio::error::connection_refused) {
    return probe_end::Refused;
  }
  return aError == beast::error::timeout ? probe_end::Timeout
                                         : probe_end::Closed;
}

} // namespace

struct http_probe::connection
{
  asio::io_context mContext;
  beast::tcp_stream mStream{ mContext };
  beast::flat_buffer mBuffer;

  /** Runs one operation to its end. */
  template<typename Start>
  error_code Run(std::chrono::milliseconds aTimeout, Start&& aStart)
  {
    error_code ended;
    mStream.expires_after(aTimeout);
    aStart([&ended](const error_code& aError, auto...) { ended = aError; });
    mContext.restart();
    mContext.run();
    return ended;
  }
};

bool
probe_reply::Ok() const
{
  return mEnd == probe_end::Replied && mStatus == kHttpOk;
}

http_probe::http_probe(model::endpoint aPeer)
  : mPeer(std::move(aPeer))
{
}

http_probe::~http_probe() = default;

bool
http_probe::Connect(std::chrono::milliseconds aTimeout)
{
  return Open(aTimeout) == probe_end::Replied;
}

probe_end
http_probe::Open(std::chrono::milliseconds aTimeout)
{
  if (mConnection) {
    return probe_end::Replied;
  }
  auto made = std::make_unique<connection>();
  const asio::ip::tcp::endpoint peer(asio::ip::make_address(mPeer.mAddress),
                                     mPeer.mPort);
  const error_code failed = made->Run(
    aTimeout, [&](auto aDone) { made->mStream.async_connect(peer, aDone); });
  if (failed) {
    return EndOf(failed);
  }
  mConnection = std::move(made);
  return probe_end::Replied;
}

probe_reply
http_probe::Call(const std::string& aMethod,
                 const std::string& aTarget,
                 const nlohmann::json& aBody,
                 std::chrono::milliseconds aTimeout)
{
  const probe_end opened = Open(aTimeout);
  if (opened != probe_end::Replied) {
    return { opened, 0, {}, {} };
  }
  const std::string body = aBody.is_null() ? std::string() : aBody.dump();
  if (!Write(aMethod, aTarget, body, aTimeout)) {
    return { probe_end::Closed, 0, {}, {} };
  }
  return ReadReply(aTimeout);
}

probe_reply
http_probe::Get(const std::string& aTarget)
{
  return Call("GET", aTarget, {});
}

probe_reply
http_probe::Post(const std::string& aTarget, const nlohmann::json& aBody)
{
  return Call("POST", aTarget, aBody);
}

bool
http_probe::Send(const std::string& aTarget, const nlohmann::json& aBody)
{
  return Connect() && Write("POST", aTarget, aBody.dump(), kDefaultTimeout);
}

bool
http_probe::Write(const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody,
                  std::chrono::milliseconds aTimeout)
{
  http::request<http::string_body> request(
    http::string_to_verb(aMethod), aTarget, kHttpVersion);
  request.set(http::field::host, mPeer.ToString());
  request.set(http::field::content_type, "application/json");
  request.body() = aBody;
  request.prepare_payload();
  const error_code failed = mConnection->Run(aTimeout, [&](auto aDone) {
    http::async_write(mConnection->mStream, request, aDone);
  });
  if (failed) {
    mConnection.reset();
  }
  return !failed;
}

probe_reply
http_probe::ReadReply(std::chrono::milliseconds aTimeout)
{
  if (!mConnection) {
    return { probe_end::Closed, 0, {}, {} };
  }
  http::response<http::string_body> response;
  const error_code failed = mConnection->Run(aTimeout, [&](auto aDone) {
    http::async_read(
      mConnection->mStream, mConnection->mBuffer, response, aDone);
  });
  if (failed) {
    mConnection.reset();
    return { EndOf(failed), 0, {}, {} };
  }
  if (!response.keep_alive()) {
    mConnection.reset();
  }
  probe_reply reply;
  reply.mEnd = probe_end::Replied;
  reply.mStatus = static_cast<int>(response.result_int());
  reply.mText = response.body();
  reply.mBody = nlohmann::json::parse(reply.mText, nullptr, false);
  if (reply.mBody.is_discarded()) {
    reply.mBody = nullptr;
  }
  return reply;
}

bool
WaitUntilUp(const model::endpoint& aPeer, std::chrono::milliseconds aLongest)
{
  const auto until = std::chrono::steady_clock::now() + aLongest;
  while (!http_probe(aPeer).Connect()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

} // namespace monsooncroft::test_support
