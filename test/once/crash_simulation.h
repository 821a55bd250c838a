/**
 * @file crash_simulation.h
 * Simulates a few leaves and entry instances, and requests of which some crash
 * leaves.
 */
#ifndef MONSOONCROFT_TEST_ONCE_CRASH_SIMULATION_H
#define MONSOONCROFT_TEST_ONCE_CRASH_SIMULATION_H

#include "once/quarantine_base.h"
#include "once/screening_queue_base.h"

#include <random>
#include <vector>

namespace monsooncroft::once {

/** Parameters of one run. */
struct crash_simulation_options
{
  unsigned mSeed = 0;
  int mCrashers =
    1; ///< Callers of the crashing request; each sends the request again.
  bool mDistinctCrashers =
    false;        ///< Each of those callers has a crashing request of its own.
  int mSends = 6; ///< Sends by each of those callers.
  int mHarmless =
    6; ///< Number of harmless requests, sent until they are answered.
  screening_mode mScreening = screening_mode::Never;
  bool mMarksBeforeAnswer =
    true; ///< Marks reach all instances before the caller is answered.
};

/** Result of one run. */
struct crash_simulation_result
{
  int mCrashes = 0;
  int mAnswered = 0; ///< Harmless requests that were answered.
  int mRefused = 0;  ///< Harmless requests that were refused.
};

/** Simulates a run until no request is left. */
class crash_simulation
{
public:
  explicit crash_simulation(const crash_simulation_options& aOptions);
  crash_simulation_result Run();

private:
  enum class stage
  {
    Ready,
    Waiting,
    HasTurn,
    Running,
    Done,
  };
  struct job
  {
    content_hash mContent;
    bool mCrashesLeaf = false;
    int mSendsLeft = 0;
    stage mStage = stage::Ready;
    std::size_t mInstance = 0;
    std::size_t mLeaf = 0;
    std::string mKey; ///< Key of the turn that the job waits for or has.
    bool mAlone = false;
  };
  struct fake_leaf
  {
    int mBootId = 0;
    std::vector<std::size_t> mJobs;
    bool mReserved = false; ///< A request runs alone on this leaf.
  };

  std::size_t Pick(std::size_t aCount);
  void StepJob(std::size_t aJob);
  void Start(job& aJob, std::size_t aNumber);
  void Enqueue(job& aJob, std::size_t aNumber, screening_permit aPermit);
  void TakeTurn(job& aJob, std::size_t aNumber);
  void ReleaseTurn(job& aJob);
  bool PlaceOnLeaf(job& aJob, std::size_t aNumber, bool aAlone);
  void Finish(job& aJob, std::size_t aNumber);
  void CrashLeaf(std::size_t aLeaf);
  void SendAgain(job& aJob);
  void Refuse(job& aJob);
  void DistributeMark(const crash_mark& aMark);

  crash_simulation_options mOptions;
  std::mt19937 mRandom;
  std::vector<quarantine> mQuarantines;
  std::vector<fake_leaf> mLeaves;
  std::vector<job> mJobs;
  std::vector<crash_mark> mUndistributedMarks;
  screening_queue mQueue{ 100 };
  crash_simulation_result mResult;
};

} // namespace monsooncroft::once

#endif
