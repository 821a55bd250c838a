/**
 * @file leaf_server.h
 * One stand-in leaf: slots, a queue, index versions and faults.
 */
#ifndef MONSOONCROFT_STANDIN_LEAF_SERVER_H
#define MONSOONCROFT_STANDIN_LEAF_SERVER_H

#include "standin/http_listener.h"
#include "standin/leaf_config.h"
#include "standin/leaf_fault.h"

#include <deque>
#include <memory>
#include <random>
#include <unordered_map>

namespace monsooncroft::standin {

class execution_log;
class serial_queue;
struct leaf_attempt;

/** What a leaf has done. */
struct leaf_counters
{
  std::uint64_t mAttempts = 0;
  std::uint64_t mExecuted = 0; ///< Runs that ended by themselves.
  std::uint64_t mRefused = 0;
  std::uint64_t mExpired = 0; ///< Of the refused: too late to start.
  std::uint64_t mNotHeld = 0;
  std::uint64_t mCancelledQueued = 0;
  std::uint64_t mCancelledRunning = 0;
  std::uint64_t mCrashes = 0;
  model::duration mBusy{}; ///< Time that runs took, cancelled ones included.
};

/** A leaf; every call on its queue. */
class leaf_server : public request_handler
{
public:
  /**
   * @param aConfig What it is and holds.
   * @param aQueue Runs everything of this leaf.
   * @param aLog Takes each run; outlives the leaf.
   * @param aSeed For service times and shedding.
   */
  leaf_server(leaf_config aConfig,
              std::shared_ptr<serial_queue> aQueue,
              execution_log& aLog,
              std::uint64_t aSeed);
  ~leaf_server() override;

  /** Starts listening. @throws net_error if the address cannot be bound. */
  void Open();

  void Handle(const net::http_request& aRequest,
              reply_callback aReply) override;

  /** Sets faults; see docs/STANDINS.md. Throws on a wrong field. */
  void Control(const nlohmann::json& aBody);
  nlohmann::json Stats() const; ///< Counters.

  const std::string& Name() const { return mConfig.mName; }
  serial_queue& Queue() { return *mQueue; } ///< Where calls belong.

private:
  using attempt_ptr = std::shared_ptr<leaf_attempt>;

  void Execute(const nlohmann::json& aBody, const reply_callback& aReply);
  void Admit(const attempt_ptr& aAttempt);
  void StartNext();
  void Run(const attempt_ptr& aAttempt);
  void Finish(const attempt_ptr& aAttempt);
  void Deliver(const attempt_ptr& aAttempt,
               int aStatus,
               const nlohmann::json& aReply);
  void Refuse(const attempt_ptr& aAttempt, const char* aReason);
  void NotHeld(const attempt_ptr& aAttempt);
  void Forget(const attempt_ptr& aAttempt);
  bool Cancel(const std::string& aAttempt);
  bool Holds(const leaf_attempt& aAttempt) const;
  nlohmann::json Reply(const leaf_attempt& aAttempt,
                       const char* aOutcome) const;
  nlohmann::json State() const;
  nlohmann::json Load() const;
  model::duration ServiceTime(const leaf_attempt& aAttempt);
  bool Chance(double aShare);

  void ControlFaults(const nlohmann::json& aBody);
  void ControlLife(const nlohmann::json& aBody);
  void Crash();
  void GoDown();
  void ComeUp(model::duration aColdStart);

  leaf_config mConfig;
  std::shared_ptr<serial_queue> mQueue;
  execution_log& mLog;
  std::mt19937_64 mRandom;
  std::unique_ptr<http_listener> mListener;
  leaf_fault mFault;
  leaf_counters mCounters;
  std::string mBootId;
  std::uint64_t mBoots = 0; ///< Work of an earlier boot is void.
  model::instant mColdUntil;
  int mRunning = 0;
  std::deque<attempt_ptr> mWaiting;
  std::unordered_map<std::string, attempt_ptr> mAttempts; ///< By attempt id.
};

} // namespace monsooncroft::standin

#endif
