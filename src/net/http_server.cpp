/**
 * @file http_server.cpp
 * HTTP listener based on the server of cxxtools. Its event loop reads complete
 * headers; its worker threads read bodies and run the handler.
 */
#include "net/http_server_base.h"

#include "net/net_error.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>
#include <thread>

namespace monsooncroft::net {

namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;
constexpr unsigned kMinThreads = 4;

/** Rejects a request with a status before it reaches the handler. */
class rejected_request : public std::runtime_error
{
public:
  rejected_request(int aStatus, const char* aReason)
    : std::runtime_error(aReason)
    , mStatus(aStatus)
  {
  }

  int Status() const { return mStatus; }

private:
  int mStatus;
};

const char*
ReasonPhrase(int aStatus)
{
  switch (aStatus) {
    case kHttpOk:
      return "OK";
    case kHttpBadRequest:
      return "Bad Request";
    case kHttpNotFound:
      return "Not Found";
    case kHttpTooLarge:
      return "Content Too Large";
    case kHttpTooManyRequests:
      return "Too Many Requests";
    case kHttpBadGateway:
      return "Bad Gateway";
    case kHttpUnavailable:
      return "Service Unavailable";
    case kHttpGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Internal Server Error";
  }
}

void
WriteResponse(cxxtools::http::Reply& aReply,
              std::ostream& aOut,
              const http_response& aResponse)
{
  aReply.httpReturn(aResponse.mStatus, ReasonPhrase(aResponse.mStatus));
  aReply.setHeader("Content-Type", aResponse.mContentType.c_str());
  if (aResponse.mRetryAfterSeconds > 0) {
    aReply.setHeader("Retry-After",
                     std::to_string(aResponse.mRetryAfterSeconds).c_str());
  }
  if (aResponse.mClose) {
    aReply.setHeader("Connection", "close");
  }
  aOut << aResponse.mBody;
}

/** Reads the body of one request and passes the request to the handler. */
class handler_responder : public cxxtools::http::Responder
{
public:
  handler_responder(cxxtools::http::Service& aService,
                    http_handler& aHandler,
                    std::size_t aMaxBodyBytes)
    : Responder(aService)
    , mHandler(aHandler)
    , mMaxBodyBytes(aMaxBodyBytes)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream& aIn,
                    cxxtools::http::Request& aRequest) override
  {
    mBody.clear();
    Responder::beginRequest(aSocket, aIn, aRequest);
    const char* length = aRequest.getHeader("Content-Length");
    if (length != nullptr &&
        std::strtoull(length, nullptr, 10) > mMaxBodyBytes) {
      throw rejected_request(kHttpTooLarge, "body too large");
    }
  }

  std::size_t readBody(std::istream& aIn) override
  {
    std::array<char, kReadChunkBytes> chunk;
    std::size_t taken = 0;
    std::streamsize count = 0;
    while ((count = aIn.readsome(chunk.data(), chunk.size())) > 0) {
      mBody.append(chunk.data(), static_cast<std::size_t>(count));
      taken += static_cast<std::size_t>(count);
      if (mBody.size() > mMaxBodyBytes) {
        throw rejected_request(kHttpTooLarge, "body too large");
      }
    }
    return taken;
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    http_request request;
    request.mMethod = aRequest.method();
    request.mTarget = aRequest.url();
    request.mBody.swap(mBody);
    WriteResponse(aReply, aOut, mHandler.Handle(request));
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request& /*aRequest*/,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    http_response response;
    const auto* rejected = dynamic_cast<const rejected_request*>(&aError);
    response.mStatus =
      rejected == nullptr ? kHttpServerError : rejected->Status();
    response.mBody = R"({"reason":")";
    response.mBody += rejected == nullptr ? "internal" : rejected->what();
    response.mBody += R"("})";
    response.mClose = true;
    WriteResponse(aReply, aOut, response);
  }

private:
  http_handler& mHandler;
  std::size_t mMaxBodyBytes; ///< Longest body accepted.
  std::string mBody;         ///< Bytes of the body read so far.
};

/** Creates a responder for each request. */
class handler_service : public cxxtools::http::Service
{
public:
  handler_service(http_handler& aHandler, std::size_t aMaxBodyBytes)
    : mHandler(aHandler)
    , mMaxBodyBytes(aMaxBodyBytes)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request& /*aRequest*/) override
  {
    return new handler_responder(*this, mHandler, mMaxBodyBytes);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  http_handler& mHandler;
  std::size_t mMaxBodyBytes;
};

class cxxtools_server : public http_server
{
public:
  cxxtools_server(const http_server_options& aOptions, http_handler& aHandler)
    : mService(aHandler, aOptions.mMaxBodyBytes)
    , mServer(mLoop)
  {
    mServer.listen(aOptions.mListen.mAddress, aOptions.mListen.mPort);
    mServer.minThreads(std::min(kMinThreads, aOptions.mThreads));
    mServer.maxThreads(aOptions.mThreads);
    mServer.readTimeout(cxxtools::Milliseconds(aOptions.mReadTimeout.count()));
    mServer.keepAliveTimeout(
      cxxtools::Milliseconds(aOptions.mKeepAliveTimeout.count()));
    mServer.addService(cxxtools::Regex(".*"), mService);
    mThread = std::thread([this] { mLoop.run(); });
  }

  ~cxxtools_server() override { cxxtools_server::Stop(); }

  cxxtools_server(const cxxtools_server&) = delete;
  cxxtools_server& operator=(const cxxtools_server&) = delete;
  cxxtools_server(cxxtools_server&&) = delete;
  cxxtools_server& operator=(cxxtools_server&&) = delete;

  void Stop() override
  {
    if (mThread.joinable()) {
      mLoop.exit();
      mThread.join();
    }
  }

private:
  cxxtools::EventLoop mLoop;
  handler_service mService;
  cxxtools::http::Server mServer;
  std::thread mThread; ///< Thread that runs mLoop.
};

} // namespace

std::unique_ptr<http_server>
http_server::Start(const http_server_options& aOptions, http_handler& aHandler)
{
  try {
    return std::make_unique<cxxtools_server>(aOptions, aHandler);
  } catch (const std::exception&) {
    std::throw_with_nested(
      net_error("cannot listen on " + aOptions.mListen.ToString()));
  }
}

} // namespace monsooncroft::net
