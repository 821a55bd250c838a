/**
 * @file golden_test.cpp
 * Sessions in virtual time, compared with the recorded files in test/golden.
 *
 * A file holds commands, one per line after "> ", each followed by its output.
 * Set MC_GOLDEN_WRITE to regenerate the files from their commands.
 */
#include "policy/admission_queue_base.h"
#include "policy/fanout_base.h"
#include "policy/hedge_delay_base.h"
#include "policy/token_bucket_budget_base.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>

namespace monsooncroft::policy {
namespace {

using model::attempt_id;
using model::attempt_outcome;
using model::instant;
using word_stream = std::istringstream;

const std::map<std::string, attempt_outcome> kOutcomes{
  { "not_sent", attempt_outcome::NotSent },
  { "refused", attempt_outcome::Refused },
  { "not_held", attempt_outcome::NotHeld },
  { "ok", attempt_outcome::Ok },
  { "error", attempt_outcome::Error },
  { "lost", attempt_outcome::Lost },
};
const std::map<std::string, model::urgency> kUrgencies{
  { "urgent", model::urgency::Urgent },
  { "normal", model::urgency::Normal },
  { "browsing", model::urgency::Browsing },
};

std::string
ReadWord(word_stream& aWords)
{
  std::string out;
  aWords >> out;
  return out;
}

model::duration
ReadMillis(word_stream& aWords)
{
  double millis = 0;
  aWords >> millis;
  return model::duration(std::llround(millis * 1000));
}

std::string
FormatTime(instant aTime)
{
  std::ostringstream out;
  out << static_cast<double>(aTime.time_since_epoch().count()) / 1000 << "ms";
  return out.str();
}

/** Executes the commands of one file. */
class session
{
public:
  virtual ~session() = default;
  virtual void Run(const std::string& aCommand, word_stream& aWords) = 0;
  std::string TakeOutput()
  {
    const std::string out = mOut.str();
    mOut.str("");
    return out;
  }

protected:
  std::ostringstream mOut;
  instant mNow{};
};

class fanout_session : public session
{
public:
  void Run(const std::string& aCommand, word_stream& aWords) override
  {
    if (aCommand == "shard") {
      shard_plan shard{ model::shard_id(ReadWord(aWords)), {} };
      for (std::string name; aWords >> name;) {
        shard.mCandidates.emplace_back(name);
      }
      mPlan.mShards.push_back(shard);
    } else if (aCommand == "start") {
      Start(aWords);
    } else if (aCommand == "until") {
      RunUntil(instant(ReadMillis(aWords)));
    } else if (aCommand == "cancel") {
      Print(mFanout->OnCancel(mNow));
    } else if (aCommand == "forbid_extra") {
      mFanout->ForbidExtraAttempts();
    } else {
      Result(kOutcomes.at(aCommand), aWords);
    }
  }

private:
  void Start(word_stream& aWords)
  {
    mPlan.mIdempotent = ReadWord(aWords) == "idempotent";
    mPlan.mDeadline = instant(ReadMillis(aWords));
    mPlan.mSnapshot = 7;
    mPlan.mAttemptPrefix = "r.";
    if (const auto hedge = ReadMillis(aWords); hedge.count() > 0) {
      mHedge = std::make_unique<fixed_hedge>(hedge);
    }
    double budget = 0;
    aWords >> budget;
    mBudget = token_bucket_budget(token_bucket_budget::kFraction, budget);
    mFanout = std::make_unique<fanout>(mPlan, *mHedge, mBudget, 1);
    Print(mFanout->Start(mNow));
  }

  void RunUntil(instant aEnd)
  {
    for (auto wake = mFanout->NextWake(); wake && *wake <= aEnd;
         wake = mFanout->NextWake()) {
      mNow = *wake;
      mOut << "timer at " << FormatTime(mNow) << "\n";
      Print(mFanout->OnTimer(mNow));
    }
    mNow = aEnd;
  }

  void Result(attempt_outcome aOutcome, word_stream& aWords)
  {
    model::attempt_result result;
    result.mAttempt = attempt_id(ReadWord(aWords));
    result.mShard = model::shard_id(ReadWord(aWords));
    result.mOutcome = aOutcome;
    result.mSnapshot = mPlan.mSnapshot;
    aWords >> result.mSnapshot;
    Print(mFanout->OnResult(result, mNow));
  }

  void Print(const fanout_effects& aEffects)
  {
    if (aEffects.empty()) {
      mOut << "  nothing\n";
    }
    for (const fanout_effect& effect : aEffects) {
      if (const auto* send = std::get_if<send_effect>(&effect)) {
        mOut << "  send " << send->mAttempt << " of " << send->mShard << " to "
             << send->mTarget << (send->mExtra ? " (extra)\n" : "\n");
      } else if (const auto* cancel = std::get_if<cancel_effect>(&effect)) {
        mOut << "  cancel " << cancel->mAttempt << " of " << cancel->mShard
             << " at " << cancel->mTarget << "\n";
      } else {
        PrintEnd();
      }
    }
  }

  void PrintEnd()
  {
    mOut << "  finish at " << FormatTime(mNow)
         << (mFanout->MayHaveRun() ? ", may have run" : ", did not run")
         << (mFanout->CanReplan() ? ", can plan again\n" : "\n");
    for (const shard_report& shard : mFanout->Report().mShards) {
      const char* outcome =
        shard.mOutcome == shard_outcome::Answered ? "answered"
        : shard.mOutcome == shard_outcome::NotRun ? "not run"
                                                  : "maybe ran";
      mOut << "    " << shard.mShard << ": " << outcome
           << (shard.mNotHeld ? ", not held\n" : "\n");
    }
  }

  fanout_plan mPlan;
  std::unique_ptr<hedge_policy> mHedge = std::make_unique<no_hedge>();
  token_bucket_budget mBudget;
  std::unique_ptr<fanout> mFanout;
};

class admission_session : public session
{
public:
  void Run(const std::string& aCommand, word_stream& aWords) override
  {
    if (aCommand == "queue") {
      int slots = 1;
      admission_settings settings;
      aWords >> slots >> settings.mQueueLimit;
      settings.mInitialServiceTime = ReadMillis(aWords);
      settings.mAgeingStep = ReadMillis(aWords);
      if (ReadWord(aWords) == "fifo") {
        settings.mMode = admission_mode::Fifo;
      }
      mQueue = std::make_unique<admission_queue>(slots, settings);
    } else if (aCommand == "until") {
      RunUntil(instant(ReadMillis(aWords)));
    } else if (aCommand == "offer") {
      Offer(aWords);
    } else if (aCommand == "cancel") {
      Print(mQueue->OnCancel(attempt_id(ReadWord(aWords))));
    } else if (aCommand == "drain") {
      Print(mQueue->SetDraining(true));
    } else {
      const attempt_id attempt(ReadWord(aWords));
      const auto service = ReadMillis(aWords);
      Print(mQueue->OnDone(attempt, kOutcomes.at(aCommand), service, mNow));
    }
  }

private:
  void Offer(word_stream& aWords)
  {
    admission_item item;
    item.mAttempt = attempt_id(ReadWord(aWords));
    item.mUrgency = kUrgencies.at(ReadWord(aWords));
    item.mWorkspace = model::workspace_id(ReadWord(aWords));
    item.mDeadline = mNow + ReadMillis(aWords);
    Print(mQueue->Offer(item, mNow));
  }

  void RunUntil(instant aEnd)
  {
    for (auto wake = mQueue->NextWake(); wake && *wake <= aEnd;
         wake = mQueue->NextWake()) {
      mNow = *wake;
      mOut << "timer at " << FormatTime(mNow) << "\n";
      Print(mQueue->OnTimer(mNow));
    }
    mNow = aEnd;
  }

  void Print(const admission_effects& aEffects)
  {
    if (aEffects.empty()) {
      mOut << "  nothing\n";
    }
    for (const admission_effect& effect : aEffects) {
      if (const auto* sent = std::get_if<dispatch_effect>(&effect)) {
        mOut << "  dispatch " << sent->mAttempt << "\n";
      } else {
        const auto& refused = std::get<refuse_effect>(effect);
        mOut << "  refuse " << refused.mAttempt << ": "
             << ToString(refused.mRefusal) << "\n";
      }
    }
    mOut << "  running " << mQueue->Running() << ", waiting "
         << mQueue->Waiting() << "\n";
  }

  std::unique_ptr<admission_queue> mQueue;
};

std::string
Replay(std::istream& aFile, session& aSession)
{
  std::ostringstream out;
  for (std::string line; std::getline(aFile, line);) {
    const bool comment = line.empty() || line[0] == '#';
    if (comment || line[0] == '>') {
      out << line << "\n";
    }
    if (!comment && line[0] == '>') {
      word_stream command(line.substr(1));
      const std::string name = ReadWord(command);
      aSession.Run(name, command);
      out << aSession.TakeOutput();
    }
  }
  return out.str();
}

class golden : public testing::TestWithParam<std::string>
{};

TEST_P(golden, transcript_is_as_recorded)
{
  const std::string path =
    std::string(MC_SOURCE_DIR "/test/golden/") + GetParam() + ".txt";
  std::ifstream file(path);
  ASSERT_TRUE(file) << path;
  std::stringstream recorded;
  recorded << file.rdbuf();
  std::unique_ptr<session> session;
  if (GetParam().rfind("fanout", 0) == 0) {
    session = std::make_unique<fanout_session>();
  } else {
    session = std::make_unique<admission_session>();
  }
  const std::string replayed = Replay(recorded, *session);
  if (std::getenv("MC_GOLDEN_WRITE") != nullptr) {
    std::ofstream(path) << replayed;
    return;
  }
  EXPECT_EQ(replayed, recorded.str());
}

INSTANTIATE_TEST_SUITE_P(sessions,
                         golden,
                         testing::Values("fanout_hedged",
                                         "fanout_lossy",
                                         "fanout_not_idempotent",
                                         "fanout_not_held",
                                         "admission_order",
                                         "admission_overload"),
                         [](const auto& aInfo) { return aInfo.param; });

} // namespace
} // namespace monsooncroft::policy
