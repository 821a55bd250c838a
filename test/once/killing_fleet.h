/**
 * @file killing_fleet.h
 * A few leaves and instances, and requests of which one kind kills leaves.
 */
#ifndef MONSOONCROFT_TEST_ONCE_KILLING_FLEET_H
#define MONSOONCROFT_TEST_ONCE_KILLING_FLEET_H

#include "once/quarantine_base.h"
#include "once/trial_queue_base.h"

#include <random>
#include <vector>

namespace monsooncroft::once {

/** What is varied. */
struct fleet_options
{
  unsigned mSeed = 0;
  int mKillers = 1; ///< Callers of the killing request, each sends it again.
  bool mDistinct = false; ///< Each of those callers has a request of its own.
  int mSends = 6;         ///< Sends of each of them.
  int mInnocents = 6;     ///< Other requests, sent until they are answered.
  screening mScreening = screening::Never;
  bool mSpreadFirst = true; ///< Marks reach all before the caller is answered.
};

/** How it ended. */
struct fleet_end
{
  int mDeaths = 0;
  int mAnswered = 0; ///< Innocent requests.
  int mRefused = 0;  ///< Innocent requests.
};

/** Runs until no request is left. */
class killing_fleet
{
public:
  explicit killing_fleet(const fleet_options& aOptions);
  fleet_end Run();

private:
  enum class stage
  {
    Ready,
    Waiting,
    Turn,
    Running,
    Done,
  };
  struct job
  {
    content_hash mContent;
    bool mKills = false;
    int mSendsLeft = 0;
    stage mStage = stage::Ready;
    std::size_t mInstance = 0;
    std::size_t mLeaf = 0;
    std::string mKey; ///< Of the turn that it waits for or has.
    bool mAlone = false;
  };
  struct fake_leaf
  {
    int mBoot = 0;
    std::vector<std::size_t> mJobs;
    bool mReserved = false; ///< One runs alone.
  };

  std::size_t Pick(std::size_t aCount);
  void Step(std::size_t aJob);
  void Start(job& aJob, std::size_t aNumber);
  void Enter(job& aJob, std::size_t aNumber, passage aPassage);
  void TakeTurn(job& aJob, std::size_t aNumber);
  void Leave(job& aJob);
  bool Place(job& aJob, std::size_t aNumber, bool aAlone);
  void Finish(job& aJob, std::size_t aNumber);
  void Die(std::size_t aLeaf);
  void SendAgain(job& aJob);
  void Refuse(job& aJob);
  void Spread(const death_mark& aMark);

  fleet_options mOptions;
  std::mt19937 mRandom;
  std::vector<quarantine> mTables;
  std::vector<fake_leaf> mLeaves;
  std::vector<job> mJobs;
  std::vector<death_mark> mUnspread;
  trial_queue mQueue{ 100 };
  fleet_end mEnd;
};

} // namespace monsooncroft::once

#endif
