/**
 * @file record_simulation.h
 * Two record keepers, their platform and one request, one step at a time.
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
  int mLostAnswers = 1; ///< Platform answers that never come.
  int mLateWrites = 1;  ///< Writes without an answer that land later.
  int mRestarts = 1;    ///< Instances killed and started again.
  int mRefusals = 1;    ///< Dispatches that the leaf refuses to run.
};

/** A platform call of one instance on its way. */
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
  std::optional<send_permit> mPermit; ///< Granted, not yet used.
  int mPermitSend = 0;                ///< The send it was granted to.
  int mPendingSend = -1;              ///< Send without a verdict.
};

/** The whole state; copied for each step that is tried. */
class record_simulation
{
public:
  explicit record_simulation(const record_simulation_options& aOptions);

  std::string StateKey() const; ///< Equal for equal states.
  const std::string& Violation() const
  {
    return mViolation;
  } ///< Empty if all is well.
  int Executions() const { return mExecutions; }
  int Recorded() const { return mRecorded; } ///< Dispatch verdicts.

  /** Every step that is possible now, each with the state after it. */
  void ForEachStep(const std::function<void(record_simulation)>& aVisit) const;

private:
  using step = std::function<void(record_simulation&)>;

  void VisitStep(const std::function<void(record_simulation)>& aVisit,
                 const step& aStep) const;
  void PlatformSteps(const std::function<void(record_simulation)>& aVisit,
                     std::size_t aWho) const;
  void SendSteps(const std::function<void(record_simulation)>& aVisit,
                 std::size_t aWho) const;
  void LateWriteSteps(
    const std::function<void(record_simulation)>& aVisit) const;

  clock_reading Clock() const;
  bool IsOpen(std::size_t aWho) const;
  void Offer(std::size_t aWho, const request_hash& aRequest);
  void Apply(std::size_t aWho, const record_effects& aEffects);
  void HandleVerdict(std::size_t aWho, const verdict& aVerdict);
  void ReportNotRun();
  void Store(const cas_request& aCall, cas_result& aResult);
  void Execute();
  void Restart(std::size_t aWho);
  void Check(bool aTrue, const char* aFault);

  record_simulation_options mOptions;
  std::array<simulated_instance, 2> mInstances;
  std::size_t mTime = 0; ///< Index of the present time.
  revision mRevision = 0;
  std::string mValue;
  std::vector<cas_request> mLateWrites; ///< Writes that may yet land.
  std::vector<int> mInFlight;           ///< Sends on their way to the leaf.
  int mSends = 0;                       ///< Sends made so far.
  int mSendsAtNotRun = 0; ///< Sends made when "not run" was last told.
  int mExecutions = 0;
  int mRecorded = 0;
  bool mOtherOffered = false; ///< The other request was offered.
  std::string mViolation;
};

} // namespace monsooncroft::once

#endif
