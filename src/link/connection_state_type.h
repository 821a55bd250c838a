/**
 * @file connection_state_type.h
 * Settings and decisions of connection_state.
 */
#ifndef MONSOONCROFT_LINK_CONNECTION_STATE_TYPE_H
#define MONSOONCROFT_LINK_CONNECTION_STATE_TYPE_H

#include "model/time_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace monsooncroft::link {

/** Number of a connection; increases with each one opened, never reused. */
using connection_number = std::uint64_t;

/** Limits of the connections to one leaf. */
struct connection_settings
{
  int mLimit = 1; ///< This instance's share of the leaf's connections.
  std::chrono::milliseconds mIdleLimit{
    60000
  }; ///< Idle connections are closed after this time.
  std::chrono::milliseconds mVerifyAfter{
    5000
  }; ///< Time since the last reply after which a connection is checked with
     ///< GET /v1/state before a non-idempotent request.
};

/** How the next exchange gets its connection. */
enum class choice_kind
{
  Use,    ///< Send on mConnection.
  Open,   ///< Open mConnection and send on it.
  Verify, ///< Send GET /v1/state on mConnection first; use it after a reply.
  Full,   ///< No connection is free and the limit is reached.
};

/** Connection chosen for an exchange; mConnection is marked busy. */
struct connection_choice
{
  choice_kind mKind = choice_kind::Full;
  connection_number mConnection = 0;
  std::vector<connection_number> mClose; ///< Connections to close before use.
};

/** How an exchange on a connection ended. */
enum class exchange_end
{
  Replied, ///< A complete reply arrived; the connection can be reused.
  NoReply, ///< Sent, and no complete reply arrived in time.
  Broken,  ///< Closed, refused, malformed or no longer trusted.
  Unused,  ///< Reserved, but nothing was sent.
};

} // namespace monsooncroft::link

#endif
