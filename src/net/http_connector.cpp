/**
 * @file http_connector.cpp
 * Outgoing connections over Boost.Beast, which writes each request once. Its
 * reader accepts responses that are not valid HTTP/1.1, so http_reader reads
 * them.
 *
 * The HTTP client of cxxtools, the library behind the listeners, resends a
 * request by itself when a keep-alive connection breaks. That would violate
 * at-most-once execution.
 */
#include "net/http_connector_base.h"

#include "http/http_reader_base.h"
#include "net/http_connection_base.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace monsooncroft::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr std::size_t kMaxResponseBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxResponseHeadBytes = 8 * 1024;
constexpr std::size_t kReadBytes = 4 * 1024; ///< Buffer of a connection.
constexpr unsigned kHttpVersion = 11;
/** TCP closes a connection whose sent bytes stay unacknowledged for this long,
 * in milliseconds. */
constexpr int kTcpUserTimeoutMs = 5000;

using user_timeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** A connection whose asynchronous operations run on one strand. */
class beast_connection
  : public http_connection
  , public std::enable_shared_from_this<beast_connection>
{
public:
  beast_connection(asio::io_context& aContext,
                   model::endpoint aPeer,
                   http_connector::malformed_handler aOnMalformed)
    : mStrand(asio::make_strand(aContext))
    , mStream(mStrand)
    , mDeadline(mStrand)
    , mPeer(std::move(aPeer))
    , mOnMalformed(std::move(aOnMalformed))
  {
    mReader.SetLimits(kMaxResponseHeadBytes, kMaxResponseBytes);
  }

  void Exchange(const http_request& aRequest,
                model::duration aTimeout,
                callback aDone) override
  {
    asio::post(mStrand,
               [self = shared_from_this(),
                aRequest,
                aTimeout,
                done = std::move(aDone)]() mutable {
                 self->Begin(aRequest, aTimeout, std::move(done));
               });
  }

  void Close() override
  {
    mOpen = false;
    asio::post(mStrand, [self = shared_from_this()] {
      self->End(exchange_error::Cancelled);
    });
  }

  bool IsOpen() const override { return mOpen; }

private:
  void Begin(const http_request& aRequest,
             model::duration aTimeout,
             callback aDone)
  {
    mDone = std::move(aDone);
    mResult = exchange_result();
    mReader.NextMessage();
    mRequest = { beast_http::string_to_verb(aRequest.mMethod),
                 aRequest.mTarget,
                 kHttpVersion };
    mRequest.set(beast_http::field::host, mPeer.mAddress);
    mRequest.set(beast_http::field::content_type, "application/json");
    mRequest.body() = aRequest.mBody;
    mRequest.prepare_payload();
    mDeadline.expires_after(aTimeout);
    mDeadline.async_wait(
      [self = shared_from_this(),
       exchange = mExchangeNumber](const error_code& aError) {
        if (!aError && exchange == self->mExchangeNumber) {
          self->End(exchange_error::Timeout);
        }
      });
    if (!mConnectAttempted) {
      Connect();
    } else if (mOpen && IsOpenAndIdle()) {
      Write();
    } else {
      End(exchange_error::Closed);
    }
  }

  /**
   * Whether an idle connection is still open and has nothing to read. The peer
   * may have closed it, and unsolicited bytes must not be taken for the
   * response to the next request.
   */
  bool IsOpenAndIdle()
  {
    char byte = 0;
    const ssize_t count = ::recv(mStream.socket().native_handle(),
                                 &byte,
                                 sizeof byte,
                                 MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Connect()
  {
    mConnectAttempted = true;
    error_code error;
    const auto address = asio::ip::make_address(mPeer.mAddress, error);
    if (error) {
      End(exchange_error::ConnectFailed);
      return;
    }
    mStream.socket().async_connect(
      asio::ip::tcp::endpoint(address, mPeer.mPort),
      [self = shared_from_this(),
       exchange = mExchangeNumber](const error_code& aError) {
        if (exchange == self->mExchangeNumber) {
          self->OnConnect(aError);
        }
      });
  }

  void OnConnect(const error_code& aError)
  {
    if (aError) {
      const bool refused = aError == asio::error::connection_refused;
      End(refused ? exchange_error::ConnectRefused
                  : exchange_error::ConnectFailed);
      return;
    }
    error_code ignored;
    mStream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    mStream.socket().set_option(user_timeout(kTcpUserTimeoutMs), ignored);
    mOpen = true;
    Write();
  }

  void Write()
  {
    mResult.mState = send_state::MaybeSent;
    beast_http::async_write(
      mStream,
      mRequest,
      [self = shared_from_this(), exchange = mExchangeNumber](
        const error_code& aError, std::size_t /*aBytes*/) {
        if (exchange != self->mExchangeNumber) {
          return;
        }
        if (aError) {
          self->End(exchange_error::Closed);
        } else {
          self->Read();
        }
      });
  }

  void Read()
  {
    mStream.async_read_some(
      asio::buffer(mBuffer),
      [self = shared_from_this(), exchange = mExchangeNumber](
        const error_code& aError, std::size_t aBytes) {
        if (exchange == self->mExchangeNumber) {
          self->OnRead(aError, aBytes);
        }
      });
  }

  void OnRead(const error_code& aError, std::size_t aBytes)
  {
    std::string_view bytes(mBuffer.data(), aBytes);
    if (aError == asio::error::eof) {
      mReader.FeedEof();
    }
    do {
      bytes.remove_prefix(mReader.Feed(bytes));
    } while (SkipInterim() && !bytes.empty());
    using state = http::http_reader::state;
    if (mReader.State() == state::Complete) {
      OnResponse(!bytes.empty() || aError);
    } else if (mReader.State() >= state::Malformed) {
      if (mOnMalformed) {
        mOnMalformed(mPeer, mReader.Defect());
      }
      End(exchange_error::Malformed);
    } else if (aError) {
      End(exchange_error::Closed);
    } else {
      Read();
    }
  }

  /** Drops an interim response (1xx). @return Whether there was one. */
  bool SkipInterim()
  {
    const bool isInterim =
      mReader.State() == http::http_reader::state::Complete &&
      mReader.Message().mStatus / 100 == 1;
    if (isInterim) {
      mReader.NextMessage();
    }
    return isInterim;
  }

  /** @param aClose Whether the connection cannot be used again: it has ended,
   * or bytes follow that belong to no request. */
  void OnResponse(bool aClose)
  {
    http::http_message& message = mReader.Message();
    mResult.mState = send_state::Replied;
    mResult.mResponse.mStatus = message.mStatus;
    mResult.mResponse.mClose = aClose || !message.mKeepAlive;
    mResult.mResponse.mBody = std::move(message.mBody);
    End(exchange_error::None);
  }

  /** Completes the exchange in progress, if any. Any error also closes the
   * connection. */
  void End(exchange_error aError)
  {
    ++mExchangeNumber;
    mDeadline.cancel();
    mResult.mError = aError;
    if (aError != exchange_error::None || mResult.mResponse.mClose) {
      mOpen = false;
      mConnectAttempted = true;
      error_code ignored;
      mStream.socket().close(ignored);
    }
    callback done = std::exchange(mDone, nullptr);
    if (done) {
      done(mResult);
    }
  }

  asio::strand<asio::io_context::executor_type> mStrand;
  beast::tcp_stream mStream;
  asio::steady_timer mDeadline; ///< Timeout of the exchange in progress.
  model::endpoint mPeer;
  http_connector::malformed_handler mOnMalformed; ///< May be null.
  std::array<char, kReadBytes> mBuffer;
  http::http_reader mReader{ http::http_reader::role::Responses };
  beast_http::request<beast_http::string_body> mRequest;
  exchange_result mResult;
  callback mDone; ///< Set while an exchange is in progress.
  unsigned long mExchangeNumber =
    0; ///< Lets late completion handlers of earlier exchanges be ignored.
  bool mConnectAttempted =
    false; ///< Connecting was attempted; a closed connection is not reopened.
  std::atomic<bool> mOpen = false; ///< Connected and not yet closed.
};

class beast_connector : public http_connector
{
public:
  beast_connector(int aThreads, malformed_handler aOnMalformed)
    : mOnMalformed(std::move(aOnMalformed))
    , mWork(asio::make_work_guard(mContext))
  {
    for (int i = 0; i < aThreads; ++i) {
      mThreads.emplace_back([this] { mContext.run(); });
    }
  }

  ~beast_connector() override { beast_connector::Stop(); }

  beast_connector(const beast_connector&) = delete;
  beast_connector& operator=(const beast_connector&) = delete;
  beast_connector(beast_connector&&) = delete;
  beast_connector& operator=(beast_connector&&) = delete;

  std::shared_ptr<http_connection> Open(const model::endpoint& aPeer) override
  {
    return std::make_shared<beast_connection>(mContext, aPeer, mOnMalformed);
  }

  void RunAfter(model::duration aDelay, std::function<void()> aTask) override
  {
    auto timer = std::make_shared<asio::steady_timer>(mContext, aDelay);
    timer->async_wait(
      [timer, task = std::move(aTask)](const error_code& aError) {
        if (!aError) {
          task();
        }
      });
  }

  void Stop() override
  {
    mWork.reset();
    mContext.stop();
    for (std::thread& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
  }

private:
  malformed_handler mOnMalformed;
  asio::io_context mContext;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::vector<std::thread> mThreads;
};

} // namespace

std::unique_ptr<http_connector>
http_connector::Create(int aThreads, malformed_handler aOnMalformed)
{
  return std::make_unique<beast_connector>(aThreads, std::move(aOnMalformed));
}

} // namespace monsooncroft::net
