/**
 * @file alarm_board_base.h
 * What operators should look at.
 */
#ifndef MONSOONCROFT_ENTRY_ALARM_BOARD_BASE_H
#define MONSOONCROFT_ENTRY_ALARM_BOARD_BASE_H

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace monsooncroft::ops {
class log;
}

namespace monsooncroft::entry {

/** The latest alarms. Thread safe; lock rank Innermost. */
class alarm_board
{
public:
  /** @param aLog Gets each alarm as a line; outlives this. */
  explicit alarm_board(const ops::log& aLog);

  /**
   * Raises an alarm; one that stands already is not logged again.
   * @param aKind A fixed word, such as "lower_head".
   * @param aText What was seen.
   */
  void Raise(const char* aKind, const std::string& aText);

  std::vector<std::string> Texts() const; ///< "kind: text", newest last.

private:
  const ops::log& mLog;
  mutable std::mutex mMutex;
  std::deque<std::string> mTexts;
};

} // namespace monsooncroft::entry

#endif
