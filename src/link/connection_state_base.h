/**
 * @file connection_state_base.h
 * Decisions about the connections to one leaf.
 */
#ifndef MONSOONCROFT_LINK_CONNECTION_STATE_BASE_H
#define MONSOONCROFT_LINK_CONNECTION_STATE_BASE_H

#include "link/connection_state_type.h"

#include <map>
#include <vector>

namespace monsooncroft::link {

/**
 * Which connection carries an exchange, which are opened and closed. After an
 * exchange without any reply every connection that has shown no sign of life
 * since that exchange was sent is in doubt: it is passed over for a new one,
 * and closed once a newer connection shows life. Not thread safe.
 */
class connection_state
{
public:
  explicit connection_state(connection_settings aSettings);

  /**
   * Chooses the connection for one exchange: the most recently used one that
   * is free, else a new one.
   * @param aIdempotent Whether the exchange may be repeated.
   * @param aNow Present time.
   */
  connection_choice Choose(bool aIdempotent, model::instant aNow);

  /** The proof on a connection was answered; it stays busy for its use. */
  std::vector<connection_number> OnVerified(connection_number aConnection,
                                            model::instant aNow);

  /**
   * An exchange ended.
   * @return Connections to close; aConnection is among them unless it is kept.
   */
  std::vector<connection_number> OnEnd(connection_number aConnection,
                                       exchange_end aEnd,
                                       model::instant aNow);

  /** @return Connections to close because they were idle for too long. */
  std::vector<connection_number> OnTimer(model::instant aNow);

  /** @return Connections to close; busy ones above the limit follow when they
   * end. */
  std::vector<connection_number> SetLimit(int aLimit);

  int Limit() const { return mSettings.mLimit; }
  std::size_t Count() const { return mConnections.size(); } ///< Open ones.
  std::size_t Busy() const; ///< Those that carry an exchange.

private:
  struct connection
  {
    model::instant mSentAt;    ///< Start of the exchange under way or last.
    model::instant mLastReply; ///< Last reply; the opening before the first.
    bool mHasReplied = false;  ///< Has replied at least once.
    bool mBusy = true;
    bool mRetired = false; ///< To be closed at its end.
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
  connections mConnections;          ///< In the order of opening.
  connection_number mLastNumber = 0; ///< The newest.
  model::instant mSuspectBefore =
    model::instant::min(); ///< Latest send that stayed silent.
};

} // namespace monsooncroft::link

#endif
