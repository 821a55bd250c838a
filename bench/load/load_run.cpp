/**
 * @file load_run.cpp
 * The open loop: one thread keeps the schedule, connections do the rest.
 */
#include "bench/load/load_run.h"

#include "bench/load/arrival_schedule.h"
#include "bench/load/load_report.h"
#include "bench/load/target_set.h"
#include "net/http_connector_base.h"
#include "net/http_pool_base.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <memory>
#include <thread>

namespace monsooncroft::bench {

namespace {

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t kIdleConnections = 256; ///< Kept for each target.
constexpr std::chrono::milliseconds kReadyPoll{ 200 };
constexpr std::chrono::milliseconds kEndPoll{ 10 };
constexpr int kMostTargetsTried = 3;

double
Milliseconds(clock::duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

/** One query under way. */
struct pending
{
  query_end mEnd;
  net::http_request mRequest;
  clock::time_point mDueAt;
  clock::time_point mSentAt;
  int mTried = 0; ///< Targets tried.
};

using pending_ptr = std::shared_ptr<pending>;

class load_run
{
public:
  explicit load_run(const load_plan& aPlan)
    : mPlan(aPlan)
    , mReport(aPlan)
    , mTargets(aPlan.mTargets)
    , mConnector(net::http_connector::Create(aPlan.mIoThreads))
    , mPool(*mConnector, kIdleConnections)
  {
  }

  std::string Run();

private:
  void KeepSchedule(clock::time_point aStart);
  void Start(const arrival& aArrival,
             std::size_t aNumber,
             clock::time_point aStart);
  void Send(const pending_ptr& aPending);
  void OnEnd(const pending_ptr& aPending, const net::exchange_result& aResult);
  void PollReady(std::size_t aTarget);

  const load_plan& mPlan;
  load_report mReport;
  target_set mTargets;
  std::unique_ptr<net::http_connector> mConnector;
  net::http_pool mPool;
  std::atomic<long> mUnderWay{ 0 };
  std::atomic<bool> mOver{ false };
};

/** Fills in what the answer says. */
void
ReadAnswer(const net::http_response& aResponse, query_end& aEnd)
{
  const json answer = json::parse(aResponse.mBody, nullptr, false);
  if (!answer.is_object() || !answer.contains("status")) {
    aEnd.mStatus = "http_" + std::to_string(aResponse.mStatus);
    return;
  }
  aEnd.mStatus = answer["status"];
  aEnd.mReason = answer.value("reason", "");
  const double total = answer["coverage"].value("total", 0.0);
  const double answered = answer["coverage"].value("answered", 0.0);
  aEnd.mCoverage = total > 0 ? answered / total : 0;
}

std::string
load_run::Run()
{
  for (std::size_t i = 0; i < mTargets.All().size(); ++i) {
    PollReady(i);
  }
  KeepSchedule(clock::now());
  while (mUnderWay > 0) {
    std::this_thread::sleep_for(kEndPoll);
  }
  mOver = true;
  mConnector->Stop();
  return mReport.ToJson();
}

void
load_run::KeepSchedule(clock::time_point aStart)
{
  const std::vector<arrival> arrivals = DrawArrivals(mPlan);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    std::this_thread::sleep_until(aStart + arrivals[i].mDue);
    Start(arrivals[i], i, aStart);
  }
}

void
load_run::Start(const arrival& aArrival,
                std::size_t aNumber,
                clock::time_point aStart)
{
  const load_flow& flow = mPlan.mFlows[aArrival.mFlow];
  const auto query = std::make_shared<pending>();
  query->mEnd.mFlow = aArrival.mFlow;
  query->mEnd.mDue = aArrival.mDue;
  query->mEnd.mRequest =
    "b" + std::to_string(mPlan.mSeed) + "-" + std::to_string(aNumber);
  query->mDueAt = aStart + aArrival.mDue;
  const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  json body = { { "service", flow.mServices[aArrival.mService] },
                { "kind", flow.mKind },
                { "tenant", flow.mTenant },
                { "request_id", query->mEnd.mRequest },
                { "issued_at_ms", issued.count() },
                { "body", json::parse(flow.mBody) } };
  if (flow.mDeadline.count() > 0) {
    body["deadline_ms"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(flow.mDeadline)
        .count();
  }
  query->mRequest = { "POST", "/v1/query", body.dump() };
  query->mSentAt = clock::now();
  mReport.AddLateness(Milliseconds(query->mSentAt - query->mDueAt));
  ++mUnderWay;
  Send(query);
}

void
load_run::Send(const pending_ptr& aPending)
{
  ++aPending->mTried;
  mPool.Send(mTargets.Next(),
             aPending->mRequest,
             mPlan.mTimeout,
             [this, aPending](const net::exchange_result& aResult) {
               OnEnd(aPending, aResult);
             });
}

void
load_run::OnEnd(const pending_ptr& aPending,
                const net::exchange_result& aResult)
{
  // What certainly was not sent may go to another instance, as a balancer does.
  const bool unsent = aResult.mState == net::send_state::NotSent;
  if (unsent && aPending->mTried < kMostTargetsTried) {
    mReport.AddRepeat();
    Send(aPending);
    return;
  }
  query_end& end = aPending->mEnd;
  if (aResult.mState == net::send_state::Replied) {
    ReadAnswer(aResult.mResponse, end);
  } else {
    end.mStatus = unsent ? "no_target" : "lost";
  }
  const clock::time_point now = clock::now();
  end.mLatencyMs = Milliseconds(now - aPending->mDueAt);
  end.mServiceMs = Milliseconds(now - aPending->mSentAt);
  mReport.Add(end);
  --mUnderWay;
}

void
load_run::PollReady(std::size_t aTarget)
{
  if (mOver) {
    return;
  }
  mPool.Send(mTargets.All()[aTarget],
             { "GET", "/readyz", "" },
             std::chrono::milliseconds(1000),
             [this, aTarget](const net::exchange_result& aResult) {
               const bool ready = aResult.mState == net::send_state::Replied &&
                                  aResult.mResponse.mStatus == net::kHttpOk;
               mTargets.SetReady(aTarget, ready);
               mConnector->RunAfter(kReadyPoll,
                                    [this, aTarget] { PollReady(aTarget); });
             });
}

} // namespace

std::string
RunLoad(const load_plan& aPlan)
{
  return load_run(aPlan).Run();
}

} // namespace monsooncroft::bench
