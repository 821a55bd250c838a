/**
 * @file quota_fleet.h
 * A fleet that admits the requests of one workspace, in virtual time.
 */
#ifndef MONSOONCROFT_TEST_SERVING_QUOTA_FLEET_H
#define MONSOONCROFT_TEST_SERVING_QUOTA_FLEET_H

#include "serving/quota_agent_base.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace monsooncroft::serving {

/** Conditions of a simulated_quota_fleet. */
struct quota_fleet_settings
{
  std::size_t mInstances = 9; ///< In three data centres.
  quota_limit mLimit{ 1, 1 };
  quota_settings mQuota{ std::chrono::milliseconds(5'000), 0.1, 20 };
  double mLoss = 0;       ///< Fraction of the datagrams.
  double mDuplicates = 0; ///< Fraction of the datagrams.
  /** Fraction of the requests that come to one, slow instance. */
  double mSkew = 0;
  /** Time in which a datagram that arrived is handled. */
  std::chrono::milliseconds mMaxHandling{ 3 };
  /** The same at every fifth instance, which has a tenth of a core. */
  std::chrono::milliseconds mMaxSlowHandling{ 40 };

  // Mechanisms, to be switched off.
  bool mRestricts = true;  ///< Notices and replies name restricted workspaces.
  bool mSplitsRate = true; ///< Issuers know which fraction they can reach.
  bool mWarnsPeers = true; ///< Instances tell peers of silent issuers.
};

/** Instances with their agents, a lossy network, and a membership that notices
 * failures after up to two seconds. */
class simulated_quota_fleet
{
public:
  simulated_quota_fleet(const quota_fleet_settings& aSettings,
                        std::uint32_t aSeed);
  ~simulated_quota_fleet();

  /** Runs with random requests. @param aPerSecond Of the whole fleet. */
  void Run(model::duration aFor, double aPerSecond);
  /** Sends one request to a random instance that runs. */
  void SendRequest();

  void Crash(std::size_t aIndex);
  void Start(std::size_t aIndex);
  void Freeze(std::size_t aIndex, model::duration aFor);
  /** Sets the side of a partition on which an instance is. */
  void SetSide(std::size_t aIndex, int aSide);
  /** Instances learn of it within two seconds. */
  void SetLimit(const quota_limit& aLimit);
  /** Index of the issuer in the view of an instance that runs. */
  std::size_t Issuer() const;

  std::size_t Size() const { return mNodes.size(); }
  std::mt19937& Random() { return mRandom; }
  model::instant Now() const { return mNow; }
  const std::vector<model::instant>& Admissions() const { return mAdmissions; }
  std::size_t Refusals() const { return mRefusals; }
  std::size_t Delayed() const { return mDelayed; } ///< Not decided at once.
  std::size_t Requests() const { return mRequests; }
  std::size_t Messages() const { return mMessages; }
  const std::vector<model::duration>& RetryDelays() const
  {
    return mRetryDelays;
  }
  /**
   * The most that a window exceeded the rule's bound by; negative if none did.
   * A lowered limit binds two seconds and a window after the change.
   */
  double WorstExcess() const;

private:
  struct node;
  class peers;
  struct event
  {
    model::instant mAt;
    std::uint64_t mNumber;
    std::function<void()> mDo;
    bool operator>(const event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };

  void At(model::instant aWhen, std::function<void()> aDo);
  void RunUntil(model::instant aEnd);
  bool IsConnected(std::size_t aFrom, std::size_t aTo) const;
  bool IsRunning(std::size_t aIndex) const;
  void Deliver(std::size_t aFrom,
               std::size_t aTo,
               const quota_message& aMessage);
  void Handle(std::size_t aFrom,
              std::uint64_t aSender,
              std::size_t aTo,
              const quota_message& aMessage);
  void Tick(std::size_t aIndex, std::uint64_t aIncarnation);
  void ScheduleTimer(std::size_t aIndex);
  void UpdateMembership();
  void Submit(std::size_t aIndex);

  quota_fleet_settings mSettings;
  std::mt19937 mRandom;
  std::vector<std::unique_ptr<node>> mNodes;
  std::priority_queue<event, std::vector<event>, std::greater<>> mEvents;
  std::uint64_t mNextEvent = 0;
  std::uint64_t mIncarnations = 0;
  model::instant mNow{ std::chrono::seconds(1'000) };
  std::vector<std::pair<model::instant, quota_limit>> mLimits; ///< Changes.
  std::vector<model::instant> mAdmissions;
  std::vector<model::duration> mRetryDelays;
  std::size_t mRefusals = 0;
  std::size_t mDelayed = 0;
  std::size_t mRequests = 0;
  std::size_t mMessages = 0;
};

} // namespace monsooncroft::serving

#endif
