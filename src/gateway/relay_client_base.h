/**
 * @file relay_client_base.h
 * Hands queries over many shards to roots.
 */
#ifndef MONSOONCROFT_GATEWAY_RELAY_CLIENT_BASE_H
#define MONSOONCROFT_GATEWAY_RELAY_CLIENT_BASE_H

#include "gateway/exchange_base.h"
#include "gateway/leaf_attempt_type.h"
#include "serving/attempt_grant_type.h"
#include "serving/root_selection_func.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::ops {
class log;
class metrics;
}

namespace monsooncroft::gateway {

class event_loop;
class http_channel;
struct header_names;

/** A query that is handed to a root. */
struct relayed_query
{
  exchange_ptr mExchange;
  std::string mRequestId;
  std::string mRouteName;
  std::uint64_t mConfigVersion = 0; ///< In force at this instance.
  bool mUsesWorkspaces = false;     ///< That configuration has workspaces.
  std::string mWorkspace;           ///< Name of the caller's; empty: none.
  model::instant mAnswerBy; ///< When the caller needs an answer, if partial.
  model::instant mDeadline; ///< The caller waits no longer.
  int mMaxAttempts = 1;     ///< At each shard, by all instances together.
};

/**
 * Few queries reach each of many instances, so that an instance has no open
 * connections for them, and has seen none of the leaves recently. It hands them
 * to one of a few roots, whose connections are open. A root confirms a query at
 * once: one that does not, because it is suspended, cut off or overloaded, is
 * replaced within the target latency.
 */
class relay_client
{
public:
  /** Executes the query at this instance. */
  using fallback = std::function<void(const serving::attempt_grant&)>;

  relay_client(event_loop& aLoop,
               const header_names& aHeaderNames,
               std::string aSelf,
               std::chrono::milliseconds aRetryAfter,
               const ops::log& aLog,
               ops::metrics& aMetrics);
  ~relay_client();
  relay_client(const relay_client&) = delete;
  relay_client& operator=(const relay_client&) = delete;
  relay_client(relay_client&&) = delete;
  relay_client& operator=(relay_client&&) = delete;

  /** Sets the roots that accept queries, without this instance. */
  void SetRoots(std::vector<serving::root_address> aRoots);
  /** Whether a root is known that has not failed recently. */
  bool HasRoot(model::instant aNow) const;
  /** Hands a query to a root and answers the caller. Calls the fallback if no
   * root responds; if roots are overloaded, the query is refused; if it has no
   * attempts left, it fails. */
  void Send(relayed_query aQuery, fallback aFallback, model::instant aNow);

private:
  struct root_state
  {
    serving::root_address mAddress;
    std::vector<std::unique_ptr<http_channel>> mIdleChannels;
    model::instant mSuspectUntil;
  };
  class attempt;
  friend class attempt;

  /** The first root in order that is not suspect and not in the list; null if
   * there is none. */
  root_state* ChooseRoot(const std::vector<std::string>& aTried,
                         model::instant aNow);
  root_state* Find(const std::string& aName);
  std::unique_ptr<http_channel> TakeChannel(root_state& aRoot);
  void ReturnChannel(const std::string& aRoot,
                     std::unique_ptr<http_channel> aChannel);
  void Suspect(const std::string& aRoot, model::instant aNow);

  event_loop& mLoop;
  const header_names& mHeaderNames;
  std::string mSelf;
  std::chrono::milliseconds mRetryAfter; ///< Of refused queries.
  const ops::log& mLog;
  ops::metrics& mMetrics;
  std::vector<root_state> mRoots; ///< In this instance's order.
};

} // namespace monsooncroft::gateway

#endif
