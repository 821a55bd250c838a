/**
 * @file http_listener.cpp
 * The listener over Boost.Beast.
 */
#include "standin/http_listener.h"
#include "net/net_error.h"
#include "standin/asio_queue.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <unordered_set>

#include <sys/socket.h>

namespace monsooncroft::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr int kHttpVersion = 11;

class session;

/** What the sessions of a listener share. */
struct shared_state
{
  listener_options mOptions;
  request_handler& mHandler;
  listener_counters mCounters;
  std::unordered_set<std::shared_ptr<session>> mSessions;
};

void
ResetSocket(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

/** One connection. */
class session : public std::enable_shared_from_this<session>
{
public:
  session(tcp::socket aSocket, std::shared_ptr<shared_state> aShared)
    : mSocket(std::move(aSocket))
    , mShared(std::move(aShared))
    , mTimer(mSocket.get_executor())
  {
  }

  void Start()
  {
    error_code ignored;
    mSocket.set_option(tcp::no_delay(true), ignored);
    if (mShared->mOptions.mConnectDelay <= model::duration::zero()) {
      Read();
      return;
    }
    mTimer.expires_after(mShared->mOptions.mConnectDelay);
    mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->Read();
      }
    });
  }

  void Silence() { mSilent = true; }

  void Drop(bool aReset)
  {
    if (mClosed) {
      return;
    }
    mClosed = true;
    error_code ignored;
    if (aReset) {
      ResetSocket(mSocket);
    } else {
      mSocket.shutdown(tcp::socket::shutdown_both, ignored);
      mSocket.close(ignored);
    }
    mTimer.cancel();
    --mShared->mCounters.mOpen;
    mShared->mSessions.erase(shared_from_this());
  }

private:
  void Read()
  {
    if (mClosed) {
      return;
    }
    mParser.emplace();
    mParser->body_limit(mShared->mOptions.mMaxBodyBytes);
    http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        self->OnRead(aError);
      });
  }

  void OnRead(const error_code& aError)
  {
    if (mClosed) {
      return;
    }
    if (aError == http::error::body_limit) {
      net::http_response tooLarge;
      tooLarge.mStatus = net::kHttpTooLarge;
      tooLarge.mBody = R"({"reason":"body too large"})";
      tooLarge.mClose = true;
      Write(tooLarge, false);
      return;
    }
    if (aError) {
      Drop(false);
      return;
    }
    if (mSilent) {
      Read();
      return;
    }
    Dispatch();
  }

  void Dispatch()
  {
    auto& message = mParser->get();
    net::http_request request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    request.mBody = std::move(message.body());
    mKeepAlive = message.keep_alive();
    mAwaiting = true;
    WatchForClose();
    const std::uint64_t exchange = ++mExchange;
    mShared->mHandler.Handle(
      request, [self = shared_from_this(), exchange](const http_reply& aReply) {
        asio::dispatch(self->mSocket.get_executor(), [self, exchange, aReply] {
          self->Reply(exchange, aReply);
        });
      });
  }

  /** Notices a client that leaves before its answer, to count it as gone. */
  void WatchForClose()
  {
    if (mWatching) {
      return;
    }
    mWatching = true;
    mSocket.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code& aError) {
                         self->mWatching = false;
                         if (!aError && self->mAwaiting) {
                           self->DropIfEnded();
                         }
                       });
  }

  void DropIfEnded()
  {
    if (mClosed) {
      return;
    }
    char byte = 0;
    const auto got =
      ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool ended =
      got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    if (ended) {
      Drop(false);
    } else if (got < 0) {
      WatchForClose();
    }
  }

  void Reply(std::uint64_t aExchange, const http_reply& aReply)
  {
    if (mClosed || !mAwaiting || aExchange != mExchange) {
      return;
    }
    mAwaiting = false;
    if (mSilent) {
      Read();
      return;
    }
    if (aReply.mDelivery == delivery::Close) {
      Drop(false);
      return;
    }
    Write(aReply.mResponse, aReply.mDelivery == delivery::SendTwice);
  }

  void Write(const net::http_response& aResponse, bool aTwice)
  {
    mResponse = http::response<http::string_body>(
      http::int_to_status(static_cast<unsigned>(aResponse.mStatus)),
      kHttpVersion);
    mResponse.set(http::field::content_type, aResponse.mContentType);
    if (aResponse.mRetryAfterSeconds > 0) {
      mResponse.set(http::field::retry_after,
                    std::to_string(aResponse.mRetryAfterSeconds));
    }
    mResponse.body() = aResponse.mBody;
    mResponse.keep_alive(mKeepAlive && !aResponse.mClose);
    mResponse.prepare_payload();
    WriteAgain(aTwice);
  }

  void WriteAgain(bool aTwice)
  {
    http::async_write(mSocket,
                      mResponse,
                      [self = shared_from_this(),
                       aTwice](const error_code& aError, std::size_t) {
                        self->OnWritten(aError, aTwice);
                      });
  }

  void OnWritten(const error_code& aError, bool aTwice)
  {
    if (mClosed) {
      return;
    }
    if (aError || (!aTwice && !mResponse.keep_alive())) {
      Drop(false);
    } else if (aTwice) {
      WriteAgain(false);
    } else {
      Read();
    }
  }

  tcp::socket mSocket;
  std::shared_ptr<shared_state> mShared;
  asio::steady_timer mTimer; ///< The delay of a new connection.
  beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  std::uint64_t mExchange = 0; ///< Number of the request being answered.
  bool mKeepAlive = true;
  bool mAwaiting = false; ///< A request waits for its answer.
  bool mWatching = false; ///< A wait for the next bytes is outstanding.
  bool mSilent = false;
  bool mClosed = false;
};

class beast_listener : public http_listener
{
public:
  beast_listener(const asio_queue& aQueue,
                 const listener_options& aOptions,
                 request_handler& aHandler)
    : mAcceptor(aQueue.Executor())
    , mShared(std::make_shared<shared_state>(
        shared_state{ aOptions, aHandler, {}, {} }))
    , mAlive(std::make_shared<bool>(true))
  {
  }

  beast_listener(const beast_listener&) = delete;
  beast_listener& operator=(const beast_listener&) = delete;

  ~beast_listener() override
  {
    *mAlive = false;
    CloseAcceptor();
    ResetSessions();
  }

  void Open() override
  {
    if (mAcceptor.is_open()) {
      return;
    }
    const model::endpoint& address = mShared->mOptions.mAddress;
    try {
      const tcp::endpoint endpoint(asio::ip::make_address(address.mAddress),
                                   address.mPort);
      mAcceptor.open(endpoint.protocol());
      mAcceptor.set_option(asio::socket_base::reuse_address(true));
      mAcceptor.bind(endpoint);
      mAcceptor.listen();
    } catch (const boost::system::system_error& error) {
      CloseAcceptor();
      std::throw_with_nested(
        net::net_error(address.ToString() + ": " + error.what()));
    }
    Accept();
  }

  void StopListening() override { CloseAcceptor(); }

  void ResetAll() override { ResetSessions(); }

  void SilenceAll() override
  {
    for (const auto& open : mShared->mSessions) {
      open->Silence();
    }
  }

  listener_counters Counters() const override { return mShared->mCounters; }

private:
  void CloseAcceptor()
  {
    error_code ignored;
    mAcceptor.close(ignored);
  }

  void ResetSessions()
  {
    const auto sessions = mShared->mSessions;
    for (const auto& open : sessions) {
      open->Drop(true);
    }
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [this, alive = mAlive](const error_code& aError, tcp::socket aSocket) {
        if (!*alive || aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          OnAccept(std::move(aSocket));
        }
        if (mAcceptor.is_open()) {
          Accept();
        }
      });
  }

  void OnAccept(tcp::socket aSocket)
  {
    listener_counters& counters = mShared->mCounters;
    const int limit = mShared->mOptions.mConnectionLimit;
    if (limit > 0 && counters.mOpen >= limit) {
      ++counters.mRefused;
      ResetSocket(aSocket);
      return;
    }
    ++counters.mAccepted;
    ++counters.mOpen;
    counters.mMaxOpen = std::max(counters.mMaxOpen, counters.mOpen);
    auto open = std::make_shared<session>(std::move(aSocket), mShared);
    mShared->mSessions.insert(open);
    open->Start();
  }

  tcp::acceptor mAcceptor;
  std::shared_ptr<shared_state> mShared;
  std::shared_ptr<bool> mAlive; ///< Turns false when the listener goes.
};

} // namespace

std::unique_ptr<http_listener>
http_listener::Create(const std::shared_ptr<serial_queue>& aQueue,
                      const listener_options& aOptions,
                      request_handler& aHandler)
{
  const auto& queue = dynamic_cast<const asio_queue&>(*aQueue);
  return std::make_unique<beast_listener>(queue, aOptions, aHandler);
}

} // namespace monsooncroft::standin
