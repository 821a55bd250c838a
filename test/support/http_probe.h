/**
 * @file http_probe.h
 * A small blocking HTTP client for JSON, on one keep-alive connection.
 */
#ifndef MONSOONCROFT_TEST_SUPPORT_HTTP_PROBE_H
#define MONSOONCROFT_TEST_SUPPORT_HTTP_PROBE_H

#include "model/endpoint_type.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace monsooncroft::test_support {

/** How a call of a probe ended. */
enum class probe_end
{
  Replied,
  Refused, ///< No connection.
  Closed,  ///< The other end closed or reset the connection.
  Timeout,
};

/** The end of a call. */
struct probe_reply
{
  probe_end mEnd = probe_end::Refused;
  int mStatus = 0;      ///< HTTP status, if replied.
  nlohmann::json mBody; ///< Null if the body is no JSON.
  std::string mText;    ///< The body as it came.

  bool Ok() const; ///< Replied with status 200.
};

/** One connection, made on the first call and again after a failed one. */
class http_probe
{
public:
  static constexpr std::chrono::milliseconds kDefaultTimeout{ 5000 };

  explicit http_probe(model::endpoint aPeer);
  http_probe(const http_probe&) = delete;
  http_probe& operator=(const http_probe&) = delete;
  ~http_probe();

  /** Connects, if that is not done. @return False if refused. */
  bool Connect(std::chrono::milliseconds aTimeout = kDefaultTimeout);

  /**
   * Sends a request once and waits for the reply.
   * @param aTimeout For everything.
   */
  probe_reply Call(const std::string& aMethod,
                   const std::string& aTarget,
                   const nlohmann::json& aBody,
                   std::chrono::milliseconds aTimeout = kDefaultTimeout);

  probe_reply Get(const std::string& aTarget); ///< GET.
  probe_reply Post(const std::string& aTarget,
                   const nlohmann::json& aBody); ///< POST.

  /**
   * Sends a request without waiting; ReadReply takes what comes.
   * @return False if it could not be sent.
   */
  bool Send(const std::string& aTarget, const nlohmann::json& aBody);
  /** Reads one reply on the connection. */
  probe_reply ReadReply(std::chrono::milliseconds aTimeout = kDefaultTimeout);

private:
  struct connection;

  probe_end Open(std::chrono::milliseconds aTimeout);
  bool Write(const std::string& aMethod,
             const std::string& aTarget,
             const std::string& aBody,
             std::chrono::milliseconds aTimeout);

  model::endpoint mPeer;
  std::unique_ptr<connection> mConnection;
};

/**
 * Waits until something listens.
 * @return False if nothing does after that time.
 */
bool
WaitUntilUp(const model::endpoint& aPeer,
            std::chrono::milliseconds aLongest = std::chrono::seconds(10));

} // namespace monsooncroft::test_support

#endif
