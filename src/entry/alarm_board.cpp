/**
 * @file alarm_board.cpp
 * Keeping the latest alarms.
 */
#include "entry/alarm_board_base.h"

#include "ops/log_base.h"

#include <algorithm>

namespace monsooncroft::entry {

namespace {

constexpr std::size_t kKeptAlarms = 32;

} // namespace

alarm_board::alarm_board(const ops::log& aLog)
  : mLog(aLog)
{
}

void
alarm_board::Raise(const char* aKind, const std::string& aText)
{
  const std::string text = std::string(aKind) + ": " + aText;
  {
    const std::lock_guard lock(mMutex);
    if (std::find(mTexts.begin(), mTexts.end(), text) != mTexts.end()) {
      return;
    }
    mTexts.push_back(text);
    if (mTexts.size() > kKeptAlarms) {
      mTexts.pop_front();
    }
  }
  mLog.Write(ops::log_level::Error,
             "alarm",
             { { "kind", std::string(aKind) }, { "reason", aText } });
}

std::vector<std::string>
alarm_board::Texts() const
{
  const std::lock_guard lock(mMutex);
  return { mTexts.begin(), mTexts.end() };
}

} // namespace monsooncroft::entry
