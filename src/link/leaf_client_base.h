/**
 * @file leaf_client_base.h
 * The connections to one leaf, with their effects.
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

/** The end of an attempt as the link saw it. */
struct attempt_end
{
  model::attempt_result mResult;
  std::optional<leaf_report> mReport; ///< If a reply came.
  bool mConnectRefused = false; ///< The leaf's port refused the connection.
  bool mConnectionDied =
    false; ///< The other end closed or reset it with the attempt in flight.
};

/** What a question for the leaf's state came to. */
struct probe_result
{
  std::optional<leaf_state> mState; ///< If the leaf said it in time.
  bool mConnectRefused = false;     ///< The leaf's port refused.
};

/** Words in attempt_result::mReason that the link itself gives. */
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
 * Sends attempts to one leaf, each at most once, and says truthfully how far
 * each came. Thread safe; no lock is held while a callback runs.
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
   * Makes a link without any connection.
   * @param aConnector Makes the connections; outlives the link and its
   * exchanges.
   * @param aLeaf The leaf.
   * @param aSettings Bounds; mLimit is this instance's share.
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
   * @param aTimeout Time for everything, connecting included.
   * @param aMaySend Asked right before the send; false ends it as NotSent with
   * kReasonExpired. May be empty.
   * @param aDone Called once, on an I/O thread or before Execute returns.
   */
  virtual void Execute(const execute_request& aRequest,
                       model::duration aTimeout,
                       send_check aMaySend,
                       attempt_callback aDone) = 0;

  /** Asks the leaf to stop an attempt, without waiting for it to do so. */
  virtual void Cancel(const model::attempt_id& aAttempt) = 0;

  /** Asks for the leaf's state; nothing if it does not say in time. */
  virtual void Probe(model::duration aTimeout, state_callback aDone) = 0;

  /** As Probe, and says whether the connection was refused. */
  virtual void ProbeLiveness(model::duration aTimeout,
                             probe_callback aDone) = 0;

  virtual void SetLimit(int aLimit) = 0; ///< A new share of connections.
  virtual void OnTimer() = 0; ///< Closes idle connections; call each second.
  virtual std::size_t Connections() const = 0; ///< Open ones.
};

} // namespace monsooncroft::link

#endif
