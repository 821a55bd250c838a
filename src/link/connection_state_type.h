/**
 * @file connection_state_type.h
 * Settings and choices of a leaf's connection pool.
 */
#ifndef MONSOONCROFT_LINK_CONNECTION_STATE_TYPE_H
#define MONSOONCROFT_LINK_CONNECTION_STATE_TYPE_H

#include "model/time_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace monsooncroft::link {

/** Number of a connection; grows with each opening, never used again. */
using connection_number = std::uint64_t;

/** Bounds of the connections to one leaf. */
struct connection_settings
{
  int mLimit = 1; ///< This instance's share of the leaf's connections.
  std::chrono::milliseconds mIdleLimit{
    60000
  }; ///< Idle connections older than this are closed.
  std::chrono::milliseconds mVerifyAfter{
    5000
  }; ///< Idle time after which a connection is proved before a
     ///< non-idempotent use.
};

/** What to do for the next exchange. */
enum class choice_kind
{
  Use,    ///< Send on mConnection.
  Open,   ///< Open mConnection and send on it.
  Verify, ///< Send GET /v1/state on mConnection first; if it answers, use it.
  Full,   ///< No connection is free and the limit is reached.
};

/** The choice; mConnection is busy from here on. */
struct connection_choice
{
  choice_kind mKind = choice_kind::Full;
  connection_number mConnection = 0;
  std::vector<connection_number> mClose; ///< Close these first.
};

/** How an exchange on a connection ended. */
enum class exchange_end
{
  Replied, ///< A whole reply came; the connection can be used again.
  NoReply, ///< Sent, and nothing came in time.
  Broken,  ///< Closed, refused, malformed or not to be trusted any more.
  Unused,  ///< Nothing was sent on it after all.
};

} // namespace monsooncroft::link

#endif
