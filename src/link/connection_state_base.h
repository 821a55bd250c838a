/**
 * @file connection_state_base.h
 * State of the connections to one leaf, without I/O.
 */
#ifndef MONSOONCROFT_LINK_CONNECTION_STATE_BASE_H
#define MONSOONCROFT_LINK_CONNECTION_STATE_BASE_H

#include "link/connection_state_type.h"

#include <map>
#include <vector>

namespace monsooncroft::link {

/**
 * Decides which connection carries an exchange and which connections are opened
 * and closed. After an exchange without a reply, each connection whose last
 * reply is not later than the sending of that exchange is suspect: a new
 * connection is used instead, and the suspect one is closed once a newer
 * connection has replied. Not thread safe.
 */
class connection_state
{
public:
  explicit connection_state(connection_settings aSettings);

  /**
   * Chooses the connection for one exchange: the free one that replied most
   * recently and is not suspect, else a new one.
   * @param aIdempotent Whether the exchange may be repeated.
   * @param aNow Current time.
   */
  connection_choice Choose(bool aIdempotent, model::instant aNow);

  /**
   * Records a successful check; the connection stays busy for the exchange that
   * waited for it.
   * @return Connections to close.
   */
  std::vector<connection_number> OnVerified(connection_number aConnection,
                                            model::instant aNow);

  /**
   * Records the end of an exchange.
   * @return Connections to close; includes aConnection unless it can be reused.
   */
  std::vector<connection_number> OnEnd(connection_number aConnection,
                                       exchange_end aEnd,
                                       model::instant aNow);

  /** @return Connections to close because they exceeded mIdleLimit. */
  std::vector<connection_number> OnTimer(model::instant aNow);

  /** @return Idle connections to close; busy ones above the limit are closed
   * when their exchange ends. */
  std::vector<connection_number> SetLimit(int aLimit);

  int Limit() const { return mSettings.mLimit; }
  /** Returns the number of open connections. */
  std::size_t Count() const { return mConnections.size(); }
  /** Returns the number of connections with an exchange in flight. */
  std::size_t Busy() const;

private:
  struct connection
  {
    model::instant mSentAt; ///< Start of the current or last exchange.
    /** Time of the last reply; time of opening before the first reply. */
    model::instant mLastReply;
    bool mHasReplied = false; ///< Has replied at least once.
    bool mBusy = true;
    bool mRetired = false; ///< Closed when its exchange ends.
  };
  using connections = std::map<connection_number, connection>;

  bool IsSuspect(const connection& aConnection) const;
  connections::iterator FindFree();
  static bool RecordEnd(connection& aConnection,
                        exchange_end aEnd,
                        model::instant aNow);
  void CloseSurplus(std::vector<connection_number>& aClose);
  void RetireSuspect(std::vector<connection_number>& aClose);

  connection_settings mSettings;
  connections mConnections; ///< In the order in which they were opened.
  connection_number mLastNumber = 0; ///< Number of the newest connection.
  model::instant mSuspectBefore =
    model::instant::min(); ///< Latest send that got no reply.
};

} // namespace monsooncroft::link

#endif
