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
/** Roots that get one query at most. */
constexpr std::size_t kMaxRoots = 2;
/** Open connections to one root without a query. */
constexpr std::size_t kMaxIdleChannels = 2;

} // namespace

/** One query at one root after another. */
class relay_client::attempt : public std::enable_shared_from_this<attempt>
{
public:
  attempt(relay_client& aClient, relayed_query aQuery, fallback aFallback)
    : mClient(aClient)
    , mQuery(std::move(aQuery))
    , mFallback(std::move(aFallback))
    , mTimer(aClient.mLoop, [this] { OnUnconfirmed(); })
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
    Next(aNow);
  }

private:
  void Next(model::instant aNow)
  {
    root_state* root =
      mTried.size() < kMaxRoots ? mClient.ChooseRoot(mTried, aNow) : nullptr;
    if (root == nullptr) {
      if (mOverloaded && !mMayHaveRun) {
        const auto delay = FormatSeconds(mClient.mRetryAfter);
        Respond({ 503, { { "Retry-After", delay } }, {} }, aNow);
        return;
      }
      mQuery.mExchange->OnCallerLeft(nullptr);
      Log("direct", 0, aNow);
      mFallback(mMayHaveRun);
      return;
    }
    mTried.push_back(root->mAddress.mName);
    NoteEvent(mTried.back(), aNow);
    mConfirmed = false;
    mChannel = mClient.TakeChannel(*root);
    mTimer.Start(kConfirmationTimeout);
    mChannel->Call(
      Serialize(aNow),
      mQuery.mDeadline - aNow,
      [self = shared_from_this()](std::optional<http_message> aAnswer) {
        self->OnAnswer(std::move(aAnswer));
      },
      [this] {
        mConfirmed = true;
        NoteEvent("confirmed", event_loop::Now());
        mTimer.Stop();
      });
  }

  std::string Serialize(model::instant aNow) const
  {
    const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(mQuery.mDeadline -
                                                            aNow);
    const model::duration within = std::max<model::duration>(
      mQuery.mAnswerBy - aNow - kReturnTime, model::duration(0));
    const auto addField = [](std::string& aText,
                             const std::string& aName,
                             const std::string& aValue) {
      aText.append(aName).append(": ").append(aValue).append("\r\n");
    };
    std::string text = mRequest->mHead;
    addField(text,
             mClient.mHeaderNames.mRemainingMs,
             std::to_string(std::max<long>(1, remaining.count())));
    addField(text,
             relay_fields::kConfigVersion,
             std::to_string(mQuery.mConfigVersion));
    addField(
      text, relay_fields::kAnswerWithinUs, std::to_string(within.count()));
    if (mMayHaveRun) {
      addField(text, relay_fields::kResent, "1");
    }
    return text.append("\r\n").append(mRequest->mBody);
  }

  void OnUnconfirmed()
  {
    // While this instance was busy, the confirmation may have arrived or the
    // connection may have been established: timers run before sockets are read,
    // and several may run before the next read.
    if (mChannel->HasUnreportedEvent()) {
      mTimer.Start(kReadGrace);
      return;
    }
    const model::instant now = event_loop::Now();
    const auto sentAt = mChannel->SentAt();
    if (sentAt && now < *sentAt + kConfirmationTimeout) {
      mTimer.Start(*sentAt + kConfirmationTimeout - now);
      return;
    }
    mClient.Suspect(mTried.back(), now);
    mReason = "not confirmed";
    mChannel->Cancel(); // Calls OnAnswer().
  }

  void OnAnswer(std::optional<http_message> aAnswer)
  {
    const auto self = shared_from_this();
    const model::instant now = event_loop::Now();
    mTimer.Stop();
    const bool wasSent = mChannel->SentAt().has_value();
    mClient.ReturnChannel(mTried.back(), std::move(mChannel));
    if (mCallerLeft) {
      return;
    }
    const bool wasConfirmed = mConfirmed;
    if (!aAnswer) {
      // A root that got the query late may still execute it.
      mMayHaveRun = mMayHaveRun || wasSent;
      mReason = wasConfirmed ? "no answer" : "not confirmed";
      NoteEvent(wasSent ? "lost" : "not sent", now);
      if (now < mQuery.mDeadline) {
        mClient.Suspect(mTried.back(), now);
        Next(now);
      } else {
        Respond({ 504, {}, {} }, now);
      }
      return;
    }
    if (const auto* reason = aAnswer->Find(relay_fields::kRefused)) {
      mReason = "refused";
      NoteEvent(*reason, now);
      mOverloaded = mOverloaded || *reason == relay_fields::kOverloaded;
      mClient.mMetrics.Count("relays_refused");
      Next(now);
      return;
    }
    http_response response = ForwardedAnswer(*aAnswer);
    if (MeansNotRun(response.mStatus) && mMayHaveRun) {
      response = { 502, {}, {} };
    }
    Respond(response, now);
  }

  void Respond(const http_response& aResponse, model::instant aNow)
  {
    mQuery.mExchange->Respond(aResponse);
    if (!mQuery.mWorkspace.empty()) {
      CountRefusal(mClient.mMetrics,
                   mQuery.mWorkspace,
                   aResponse.mStatus,
                   mOverloaded ? "roots overloaded" : "refused at the root");
    }
    Log("relayed", aResponse.mStatus, aNow);
  }

  void OnCallerLeft()
  {
    mCallerLeft = true;
    Log("caller_left", 0, event_loop::Now());
    if (mChannel) {
      mChannel->Cancel();
    }
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

  void Log(const char* aOutcome, int aStatus, model::instant aNow) const
  {
    const auto latency = aNow - mQuery.mExchange->ReceivedAt();
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
        { "root", mTried.empty() ? std::string() : mTried.back() },
        { "roots", static_cast<long>(mTried.size()) },
        { "history", mHistory },
        { "reason", std::string(mReason) } });
  }

  relay_client& mClient;
  relayed_query mQuery;
  fallback mFallback;
  std::shared_ptr<const leaf_request> mRequest;
  std::vector<std::string> mTried; ///< Names of roots, the current one last.
  std::unique_ptr<http_channel> mChannel;
  loop_timer mTimer; ///< Ends the wait for the confirmation.
  bool mConfirmed = false;
  bool mMayHaveRun = false;
  bool mOverloaded = false; ///< A root has refused the query.
  bool mCallerLeft = false;
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
