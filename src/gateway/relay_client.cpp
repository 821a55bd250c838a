/**
 * @file relay_client.cpp
 * Hands queries over many shards to roots.
 */
#include "gateway/relay_client_base.h"

#include "gateway/event_loop_base.h"
#include "gateway/header_names_type.h"
#include "gateway/http_channel_base.h"
#include "gateway/loop_timer_base.h"
#include "gateway/relay_fields_type.h"
#include "gateway/request_head_func.h"
#include "gateway/workspace_metrics_func.h"
#include "ops/log_base.h"
#include "ops/metrics_base.h"
#include "serving/hand_over_actions_base.h"
#include "serving/hand_over_base.h"

#include <algorithm>

namespace monsooncroft::gateway {

namespace {

/** Time in which a connection to a root is established, and in which the root
 * then confirms a query: a round trip between data centres, and a fan-out that
 * occupies the root. */
constexpr std::chrono::milliseconds kConfirmationTimeout{ 20 };
/** Time in which the loop handles what has arrived. */
constexpr std::chrono::milliseconds kReadGrace{ 1 };
/** Time for which a root that did not confirm a query gets no other one; by
 * then peers know whether it is reachable. */
constexpr std::chrono::milliseconds kSuspicionPeriod{ 2'000 };
/** Time for the way back of an answer and for passing it on. */
constexpr std::chrono::milliseconds kReturnTime{ 3 };
/** Open connections to one root without a query. */
constexpr std::size_t kMaxIdleChannels = 2;

} // namespace

/** One query and its executions at roots. */
class relay_client::attempt
  : public serving::hand_over_actions
  , public std::enable_shared_from_this<attempt>
{
public:
  attempt(relay_client& aClient, relayed_query aQuery, fallback aFallback)
    : mClient(aClient)
    , mQuery(std::move(aQuery))
    , mFallback(std::move(aFallback))
    , mHandOver(mQuery.mMaxAttempts, *this)
    , mTimer(aClient.mLoop, [this] {
      const auto self = shared_from_this();
      const model::instant now = event_loop::Now();
      mHandOver.OnTimer(now);
      UpdateTimer(now); // Timers may run up to a millisecond early.
    })
  {
  }

  void Start(model::instant aNow)
  {
    mRequest = MakeLeafRequest(mQuery.mExchange->Request(),
                               mClient.mHeaderNames,
                               mQuery.mRequestId,
                               { serving::repeatability::Idempotent,
                                 request_receiver::Root,
                                 mQuery.mUsesWorkspaces,
                                 mQuery.mWorkspace });
    mQuery.mExchange->OnCallerLeft([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCallerLeft();
      }
    });
    mQuery.mExchange->OnStop([weak = weak_from_this()](stop_answers aWhich) {
      const auto self = weak.lock();
      // A root may be executing the query, so that it is not refused.
      if (self && aWhich == stop_answers::All) {
        self->mReason = kReasonStopping;
        self->mHandOver.OnDeadline();
        self->UpdateTimer(event_loop::Now());
      }
    });
    mHandOver.Start(aNow);
  }

  bool SendToRoot(const serving::attempt_grant& aGrant) override
  {
    const model::instant now = event_loop::Now();
    root_state* root = mClient.ChooseRoot(mTried, now);
    if (root == nullptr) {
      return false;
    }
    const std::size_t index = mExecutions.size();
    mTried.push_back(root->mAddress.mName);
    NoteEvent(mTried.back(), now);
    mExecutions.push_back(std::make_unique<execution>(
      mClient.TakeChannel(*root), mClient.mLoop, [this, index] {
        const auto self = shared_from_this();
        OnConfirmationTimer(index);
      }));
    execution& current = *mExecutions.back();
    current.mTimer.Start(kConfirmationTimeout);
    current.mChannel->Call(
      Serialize(aGrant, now),
      mQuery.mDeadline - now,
      [self = shared_from_this(), index](std::optional<http_message> aAnswer) {
        self->OnResponse(index, std::move(aAnswer));
      },
      [this, index](const http_message& aInterim) {
        OnInterim(index, aInterim);
      });
    return true;
  }

  void Grant(std::size_t aExecution, int aAttempts) override
  {
    NoteEvent("granted " + std::to_string(aAttempts), event_loop::Now());
    mClient.mMetrics.Count("relay_grants",
                           { { "attempts", std::to_string(aAttempts) } });
    std::string text = "POST / HTTP/1.1\r\n";
    AddField(text, relay_fields::kGrant, mQuery.mRequestId);
    AddField(text, relay_fields::kAttempts, std::to_string(aAttempts));
    mExecutions[aExecution]->mChannel->SendMore(
      text.append("Content-Length: 0\r\n\r\n"));
  }

  void Cancel(std::size_t aExecution) override
  {
    // Null if the response is what ended the query.
    if (const auto& channel = mExecutions[aExecution]->mChannel) {
      channel->Cancel(); // Calls OnResponse().
    }
  }

  void Answer(std::size_t aExecution) override
  {
    http_response response = ForwardedAnswer(*mExecutions[aExecution]->mAnswer);
    if (MeansNotRun(response.mStatus) &&
        mHandOver.MayHaveRunBeside(aExecution)) {
      response = { 502, {}, {} };
    }
    Respond(response, mTried[aExecution]);
  }

  void ExecuteHere(const serving::attempt_grant& aGrant) override
  {
    mQuery.mExchange->OnCallerLeft(nullptr);
    Log("direct", 0, mTried.empty() ? std::string() : mTried.back());
    mFallback(aGrant);
  }

  void Refuse() override
  {
    mRefused = true;
    const auto delay = FormatSeconds(mClient.mRetryAfter);
    Respond({ 503, { { "Retry-After", delay } }, {} }, mTried.back());
  }

  void Fail() override
  {
    const bool late = event_loop::Now() >= mQuery.mDeadline;
    Respond({ late ? 504 : 502, {}, {} }, mTried.back());
  }

private:
  /** The query at one root. */
  struct execution
  {
    execution(std::unique_ptr<http_channel> aChannel,
              event_loop& aLoop,
              std::function<void()> aOnTimer)
      : mChannel(std::move(aChannel))
      , mTimer(aLoop, std::move(aOnTimer))
    {
    }

    std::unique_ptr<http_channel> mChannel; ///< Null after the response.
    loop_timer mTimer; ///< Ends the wait for the confirmation.
    std::optional<http_message> mAnswer;
    bool mConfirmed = false;
  };

  static void AddField(std::string& aText,
                       const std::string& aName,
                       const std::string& aValue)
  {
    aText.append(aName).append(": ").append(aValue).append("\r\n");
  }

  std::string Serialize(const serving::attempt_grant& aGrant,
                        model::instant aNow) const
  {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(mQuery.mDeadline -
                                                            aNow);
    const model::duration within = std::max<model::duration>(
      mQuery.mAnswerBy - aNow - kReturnTime, model::duration(0));
    std::string text = mRequest->mHead;
    AddField(text,
             mClient.mHeaderNames.mRemainingMs,
             std::to_string(std::max<long>(1, remaining.count())));
    AddField(text,
             relay_fields::kConfigVersion,
             std::to_string(mQuery.mConfigVersion));
    AddField(
      text, relay_fields::kAnswerWithinUs, std::to_string(within.count()));
    AddField(text, relay_fields::kAttempts, std::to_string(aGrant.mAttempts));
    if (aGrant.mReserved > 0) {
      AddField(text, relay_fields::kReserved, std::to_string(aGrant.mReserved));
    }
    if (aGrant.mIsResent) {
      AddField(text, relay_fields::kResent, "1");
    }
    return text.append("\r\n").append(mRequest->mBody);
  }

  void OnInterim(std::size_t aExecution, const http_message& aInterim)
  {
    execution& current = *mExecutions[aExecution];
    current.mTimer.Stop();
    if (!std::exchange(current.mConfirmed, true)) {
      NoteEvent("confirmed", event_loop::Now());
      mHandOver.OnConfirmed(aExecution);
    }
    if (aInterim.Find(relay_fields::kAttempts) != nullptr) {
      mHandOver.OnAttemptsWanted(aExecution);
    }
    UpdateTimer(event_loop::Now());
  }

  void OnConfirmationTimer(std::size_t aExecution)
  {
    // While this instance was busy, the confirmation may have arrived or the
    // connection may have been established: timers run before sockets are read,
    // and several may run before the next read.
    execution& current = *mExecutions[aExecution];
    if (current.mChannel->HasUnreportedEvent()) {
      current.mTimer.Start(kReadGrace);
      return;
    }
    const model::instant now = event_loop::Now();
    const auto sentAt = current.mChannel->SentAt();
    if (sentAt && now < *sentAt + kConfirmationTimeout) {
      current.mTimer.Start(*sentAt + kConfirmationTimeout - now);
      return;
    }
    mClient.Suspect(mTried[aExecution], now);
    mReason = "not confirmed";
    NoteEvent(sentAt ? "unconfirmed" : "not sent", now);
    mHandOver.OnUnconfirmed(aExecution, sentAt.has_value(), now);
    UpdateTimer(now);
  }

  void OnResponse(std::size_t aExecution, std::optional<http_message> aAnswer)
  {
    const auto self = shared_from_this();
    const model::instant now = event_loop::Now();
    execution& current = *mExecutions[aExecution];
    current.mTimer.Stop();
    const bool wasSent = current.mChannel->SentAt().has_value();
    const char* defect = current.mChannel->Defect();
    mClient.ReturnChannel(mTried[aExecution], std::move(current.mChannel));
    if (mHandOver.IsDone()) {
      return;
    }
    if (!aAnswer) {
      OnNoAnswer(aExecution, wasSent, defect, now);
    } else if (const auto* reason = aAnswer->Find(relay_fields::kRefused)) {
      mReason = "refused";
      NoteEvent(*reason, now);
      const bool overloaded = *reason == relay_fields::kOverloaded;
      mRefused = mRefused || overloaded;
      mClient.mMetrics.Count("relays_refused");
      mHandOver.OnRefused(aExecution, overloaded, now);
    } else {
      const bool succeeded = aAnswer->mStatus / 100 == 2;
      current.mAnswer = std::move(aAnswer);
      mHandOver.OnAnswer(aExecution, succeeded, now);
    }
    UpdateTimer(now);
  }

  /** @param aDefect What is wrong with the answer; empty if none came. */
  void OnNoAnswer(std::size_t aExecution,
                  bool aWasSent,
                  const char* aDefect,
                  model::instant aNow)
  {
    mReason =
      mExecutions[aExecution]->mConfirmed ? "no answer" : "not confirmed";
    if (*aDefect != '\0') {
      mReason = "malformed answer";
      NoteEvent(aDefect, aNow);
    }
    NoteEvent(aWasSent ? "lost" : "not sent", aNow);
    if (aNow >= mQuery.mDeadline) {
      mHandOver.OnDeadline();
      return;
    }
    mClient.Suspect(mTried[aExecution], aNow);
    mHandOver.OnLost(aExecution, aWasSent, aNow);
  }

  void UpdateTimer(model::instant aNow)
  {
    if (const auto wake = mHandOver.NextWake()) {
      mTimer.Start(std::max<model::duration>(*wake - aNow, {}));
    } else {
      mTimer.Stop();
    }
  }

  void Respond(const http_response& aResponse, const std::string& aRoot)
  {
    mQuery.mExchange->Respond(aResponse);
    if (!mQuery.mWorkspace.empty()) {
      CountRefusal(mClient.mMetrics,
                   mQuery.mWorkspace,
                   aResponse.mStatus,
                   mRefused ? "roots overloaded" : "refused at the root");
    }
    Log("relayed", aResponse.mStatus, aRoot);
  }

  void OnCallerLeft()
  {
    Log("caller_left", 0, mTried.empty() ? std::string() : mTried.back());
    mHandOver.OnCallerLeft();
    UpdateTimer(event_loop::Now());
  }

  /** Adds an event and its age to the log line of the query. */
  void NoteEvent(const std::string& aEvent, model::instant aNow)
  {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - mQuery.mExchange->ReceivedAt());
    mHistory.append(mHistory.empty() ? "" : ", ")
      .append(aEvent)
      .append("@")
      .append(std::to_string(age.count()));
  }

  /** @param aRoot The root whose answer was passed on, or the last one. */
  void Log(const char* aOutcome, int aStatus, const std::string& aRoot) const
  {
    const auto latency = event_loop::Now() - mQuery.mExchange->ReceivedAt();
    mClient.mMetrics.Count("relays",
                           { { "outcome", aOutcome }, { "reason", mReason } });
    mClient.mLog.Write(
      ops::log_level::Info,
      "relay",
      { { "request", mQuery.mRequestId },
        { "route", mQuery.mRouteName },
        { "workspace", mQuery.mWorkspace },
        { "config", static_cast<long>(mQuery.mConfigVersion) },
        { "outcome", std::string(aOutcome) },
        { "status", static_cast<long>(aStatus) },
        { "ms", static_cast<double>(latency.count()) / 1000.0 },
        { "root", aRoot },
        { "roots", static_cast<long>(mTried.size()) },
        { "history", mHistory },
        { "reason", std::string(mReason) } });
  }

  relay_client& mClient;
  relayed_query mQuery;
  fallback mFallback;
  std::shared_ptr<const leaf_request> mRequest;
  serving::hand_over mHandOver;
  std::vector<std::string> mTried; ///< Names of roots, by execution.
  std::vector<std::unique_ptr<execution>> mExecutions;
  loop_timer mTimer;     ///< Of mHandOver.
  bool mRefused = false; ///< A root had no room for the query.
  const char* mReason = "";
  std::string mHistory; ///< Events with ms since the query arrived.
};

relay_client::relay_client(event_loop& aLoop,
                           const header_names& aHeaderNames,
                           std::string aSelf,
                           std::chrono::milliseconds aRetryAfter,
                           const ops::log& aLog,
                           ops::metrics& aMetrics)
  : mLoop(aLoop)
  , mHeaderNames(aHeaderNames)
  , mSelf(std::move(aSelf))
  , mRetryAfter(aRetryAfter)
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

relay_client::~relay_client() = default;

void
relay_client::SetRoots(std::vector<serving::root_address> aRoots)
{
  serving::OrderRoots(aRoots, mSelf);
  const bool same = std::equal(aRoots.begin(),
                               aRoots.end(),
                               mRoots.begin(),
                               mRoots.end(),
                               [](const auto& aRoot, const auto& aKnown) {
                                 return aRoot == aKnown.mAddress;
                               });
  if (same) {
    return;
  }
  std::vector<root_state> roots;
  for (serving::root_address& address : aRoots) {
    root_state* known = Find(address.mName);
    if (known != nullptr && known->mAddress.mEndpoint == address.mEndpoint) {
      known->mAddress = std::move(address);
      roots.push_back(std::move(*known));
    } else {
      roots.push_back({ std::move(address), {}, {} });
    }
  }
  mRoots = std::move(roots);
}

relay_client::root_state*
relay_client::Find(const std::string& aName)
{
  const auto found =
    std::find_if(mRoots.begin(), mRoots.end(), [&](const root_state& aRoot) {
      return aRoot.mAddress.mName == aName;
    });
  return found == mRoots.end() ? nullptr : &*found;
}

bool
relay_client::HasRoot(model::instant aNow) const
{
  return std::any_of(
    mRoots.begin(), mRoots.end(), [&](const root_state& aRoot) {
      return aNow >= aRoot.mSuspectUntil;
    });
}

relay_client::root_state*
relay_client::ChooseRoot(const std::vector<std::string>& aTried,
                         model::instant aNow)
{
  const auto found =
    std::find_if(mRoots.begin(), mRoots.end(), [&](const root_state& aRoot) {
      return aNow >= aRoot.mSuspectUntil &&
             std::find(aTried.begin(), aTried.end(), aRoot.mAddress.mName) ==
               aTried.end();
    });
  return found == mRoots.end() ? nullptr : &*found;
}

std::unique_ptr<http_channel>
relay_client::TakeChannel(root_state& aRoot)
{
  if (aRoot.mIdleChannels.empty()) {
    mMetrics.Count("relay_connections_opened");
    return std::make_unique<http_channel>(mLoop, aRoot.mAddress.mEndpoint);
  }
  auto channel = std::move(aRoot.mIdleChannels.back());
  aRoot.mIdleChannels.pop_back();
  return channel;
}

void
relay_client::ReturnChannel(const std::string& aRoot,
                            std::unique_ptr<http_channel> aChannel)
{
  root_state* root = Find(aRoot);
  if (root != nullptr && aChannel->Connected() &&
      root->mIdleChannels.size() < kMaxIdleChannels) {
    root->mIdleChannels.push_back(std::move(aChannel));
    return;
  }
  // The channel's own functions are on the stack.
  mLoop.Defer(
    [channel = std::shared_ptr<http_channel>(std::move(aChannel))] {});
}

void
relay_client::Suspect(const std::string& aRoot, model::instant aNow)
{
  if (root_state* root = Find(aRoot)) {
    root->mSuspectUntil = aNow + kSuspicionPeriod;
    root->mIdleChannels.clear();
  }
}

void
relay_client::Send(relayed_query aQuery,
                   fallback aFallback,
                   model::instant aNow)
{
  std::make_shared<attempt>(*this, std::move(aQuery), std::move(aFallback))
    ->Start(aNow);
}

} // namespace monsooncroft::gateway
