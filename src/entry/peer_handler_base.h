/**
 * @file peer_handler_base.h
 * Answers the other entry instances.
 */
#ifndef MONSOONCROFT_ENTRY_PEER_HANDLER_BASE_H
#define MONSOONCROFT_ENTRY_PEER_HANDLER_BASE_H

#include "net/http_server_base.h"

#include <atomic>
#include <functional>
#include <string>

namespace monsooncroft::entry {

class owner_service;

/** What a peer's message is handed to; all outlives the handler. */
struct peer_routes
{
  owner_service& mOwner;
  std::function<std::string(const std::string&)> mRpc; ///< Body of POST /rpc.
  /** Body of POST /peer/run; the answer's JSON, empty for a bad query. */
  std::function<std::string(const std::string&)> mRun;
  /** Body of POST /peer/trial; as mRun. */
  std::function<std::string(const std::string&)> mTrial;
  /** Body of POST /peer/marks; empty for a bad one. */
  std::function<std::string(const std::string&)> mMarks;
};

/** Requests on the peer address. Thread safe. */
class peer_handler : public net::http_handler
{
public:
  explicit peer_handler(peer_routes aRoutes);
  net::http_response Handle(const net::http_request& aRequest) override;

  int InFlight() const { return mInFlight; } ///< Messages not yet answered.

private:
  net::http_response Route(const net::http_request& aRequest);
  static net::http_response Hand(
    const std::function<std::string(const std::string&)>& aTaker,
    const std::string& aBody);
  net::http_response Relay(const std::string& aBody);
  net::http_response Held(const std::string& aBody);
  net::http_response Cancel(const std::string& aBody);

  peer_routes mRoutes;
  std::atomic<int> mInFlight{ 0 };
};

} // namespace monsooncroft::entry

#endif
