/**
 * @file leaf_client_base.h
 * Client for one leaf: attempts and state probes over a bounded set of
 * connections.
 */
#ifndef MONSOONCROFT_LINK_LEAF_CLIENT_BASE_H
#define MONSOONCROFT_LINK_LEAF_CLIENT_BASE_H

#include "link/connection_state_type.h"
#include "link/leaf_protocol_type.h"
#include "model/leaf_type.h"

#include <functional>
#include <memory>

namespace monsooncroft::net {
class http_connector;
}

namespace monsooncroft::link {

/** How an attempt ended, as observed by the leaf client. */
struct attempt_end
{
  model::attempt_result mResult;
  std::optional<leaf_report> mReport; ///< Set if a valid reply arrived.
  bool mConnectRefused = false;       ///< The leaf refused the connection.
  bool mConnectionDied = false; ///< The leaf closed or reset the connection
                                ///< with the attempt in flight.
};

/** Result of a state probe (GET /v1/state). */
struct probe_result
{
  std::optional<leaf_state> mState; ///< Set if a valid reply arrived in time.
  bool mConnectRefused = false;     ///< The leaf refused the connection.
};

/** Values of attempt_result::mReason that the leaf client itself sets. */
constexpr const char* kReasonNoConnection = "no_connection";
constexpr const char* kReasonConnectRefused = "connect_refused";
constexpr const char* kReasonConnectFailed = "connect_failed";
constexpr const char* kReasonExpired = "expired";
constexpr const char* kReasonTimedOut = "timeout";
constexpr const char* kReasonClosed = "closed";
constexpr const char* kReasonCancelled = "cancelled";
constexpr const char* kReasonBadReply = "bad_reply";
constexpr const char* kReasonWrongSnapshot = "wrong_snapshot";

/**
 * Sends each attempt to one leaf at most once and reports whether it was not
 * sent, possibly sent or answered. Thread safe; no lock is held while a
 * callback runs.
 */
class leaf_client
{
public:
  using clock = std::function<model::instant()>;
  using attempt_callback = std::function<void(const attempt_end&)>;
  using state_callback = std::function<void(const std::optional<leaf_state>&)>;
  using probe_callback = std::function<void(const probe_result&)>;
  using send_check = std::function<bool()>;

  virtual ~leaf_client() = default;

  /**
   * Creates a client without open connections.
   * @param aConnector Opens the connections; outlives the client and its
   * exchanges.
   * @param aLeaf The leaf to connect to.
   * @param aSettings Limits; mLimit is this instance's share of the leaf's
   * connections.
   * @param aClock Monotonic clock.
   */
  static std::shared_ptr<leaf_client> Create(
    net::http_connector& aConnector,
    const model::leaf& aLeaf,
    const connection_settings& aSettings,
    clock aClock);

  /**
   * Sends one attempt.
   * @param aRequest The attempt.
   * @param aTimeout Time limit from this call to the reply, connecting
   * included.
   * @param aMaySend Called right before the send; if it returns false, the
   * attempt ends as NotSent with kReasonExpired. May be empty.
   * @param aDone Called once, on an I/O thread or before Execute returns.
   */
  virtual void Execute(const execute_request& aRequest,
                       model::duration aTimeout,
                       send_check aMaySend,
                       attempt_callback aDone) = 0;

  /** Asks the leaf to cancel an attempt; does not wait for the reply. */
  virtual void Cancel(const model::attempt_id& aAttempt) = 0;

  /** Requests the leaf's state; std::nullopt without a valid reply in time. */
  virtual void Probe(model::duration aTimeout, state_callback aDone) = 0;

  /** Like Probe, and also reports whether the connection was refused. */
  virtual void ProbeLiveness(model::duration aTimeout,
                             probe_callback aDone) = 0;

  virtual void SetLimit(int aLimit) = 0; ///< Maximum of open connections.
  virtual void OnTimer() = 0; ///< Closes idle connections; call each second.
  virtual std::size_t Connections() const = 0; ///< Number of open connections.
};

} // namespace monsooncroft::link

#endif
