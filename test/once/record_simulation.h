/**
 * @file record_simulation.h
 * Simulates two record keepers, their platform and one request, one step at a
 * time.
 */
#ifndef MONSOONCROFT_TEST_ONCE_RECORD_SIMULATION_H
#define MONSOONCROFT_TEST_ONCE_RECORD_SIMULATION_H

#include "once/record_keeper_base.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::once {

/** How often each fault may happen, and the settings under test. */
struct record_simulation_options
{
  record_settings mSettings;
  int mSends = 2;       ///< Sends of the request, through either instance.
  int mLostAnswers = 1; ///< Platform answers that are lost.
  int mLateWrites = 1;  ///< Writes without an answer that take effect later.
  int mRestarts = 1;    ///< Restarts of instances.
  int mRefusals = 1;    ///< Dispatches that the leaf refuses to run.
};

/** A platform call of one instance in progress. */
struct simulated_call
{
  enum class stage
  {
    None,
    ReadAsked,
    ReadDone,
    WriteAsked,
    WriteDone,
  };
  stage mStage = stage::None;
  read_result mRead;
  cas_request mCas;
  cas_result mCasResult;
};

/** One entry instance. */
struct simulated_instance
{
  record_keeper mKeeper;
  incarnation mSelf;
  simulated_call mCall;
  std::optional<model::instant> mWakeAt;
  std::optional<send_permit>
    mPermit;             ///< Permit that is granted and not yet used.
  int mPermitSend = 0;   ///< Send that mPermit was granted to.
  int mPendingSend = -1; ///< Send without a verdict; -1 if none.
};

/** Complete state of the simulation; copied for each step that is explored. */
class record_simulation
{
public:
  explicit record_simulation(const record_simulation_options& aOptions);

  std::string StateKey() const; ///< State as text, equal for equal states.
  /** The first violated invariant; empty if none. */
  const std::string& Violation() const { return mViolation; }
  int Executions() const { return mExecutions; }
  int Recorded() const { return mRecorded; } ///< Number of Dispatch verdicts.

  /**
   * Visits every step that is possible now, each with the state after the step.
   */
  void ForEachStep(const std::function<void(record_simulation)>& aVisit) const;

private:
  using step = std::function<void(record_simulation&)>;

  void VisitStep(const std::function<void(record_simulation)>& aVisit,
                 const step& aStep) const;
  void PlatformSteps(const std::function<void(record_simulation)>& aVisit,
                     std::size_t aIndex) const;
  void SendSteps(const std::function<void(record_simulation)>& aVisit,
                 std::size_t aIndex) const;
  void LateWriteSteps(
    const std::function<void(record_simulation)>& aVisit) const;

  clock_reading Clock() const;
  bool IsOpen(std::size_t aIndex) const;
  void Offer(std::size_t aIndex, const request_hash& aRequest);
  void Apply(std::size_t aIndex, const record_effects& aEffects);
  void HandleVerdict(std::size_t aIndex, const verdict& aVerdict);
  void ReportNotRun();
  void Store(const cas_request& aCall, cas_result& aResult);
  void Execute();
  void Restart(std::size_t aIndex);
  void Check(bool aHolds, const char* aViolation);

  record_simulation_options mOptions;
  std::array<simulated_instance, 2> mInstances;
  std::size_t mTime = 0; ///< Index of the current time.
  revision mRevision = 0;
  std::string mValue;
  std::vector<cas_request> mLateWrites; ///< Writes that may yet take effect.
  std::vector<int> mInFlight;           ///< Sends in flight to the leaf.
  int mSends = 0;                       ///< Number of sends so far.
  int mSendsAtNotRun = 0; ///< Number of sends when "not run" was last reported.
  int mExecutions = 0;
  int mRecorded = 0;
  bool mOtherOffered = false; ///< Whether the other request, which makes the
                              ///< keeper prune, was offered.
  std::string mViolation;
};

} // namespace monsooncroft::once

#endif
