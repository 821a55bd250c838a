/**
 * @file leaf_client.cpp
 * Sends attempts over the connections to one leaf.
 */
#include "link/leaf_client_base.h"

#include "link/attempt_end_func.h"
#include "link/connection_state_base.h"
#include "link/leaf_codec_func.h"
#include "net/http_connection_base.h"
#include "net/http_connector_base.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace monsooncroft::link {

namespace {

constexpr std::chrono::milliseconds kVerifyTimeout{ 100 };
constexpr std::chrono::milliseconds kCancelTimeout{ 500 };

using connection_ptr = std::shared_ptr<net::http_connection>;

/** A connection reserved for one exchange. */
struct acquired_connection
{
  choice_kind mKind = choice_kind::Full;
  connection_number mNumber = 0;
  connection_ptr mConnection;
};

/** An attempt whose completion callback has not run yet. */
struct attempt
{
  execute_request mRequest;
  model::instant mStarted;
  model::instant mDeadline;
  leaf_client::send_check mMaySend;
  leaf_client::attempt_callback mDone;
};
using attempt_ptr = std::shared_ptr<attempt>;

/** Implements leaf_client over net::http_connection. */
class connector_leaf_client final
  : public leaf_client
  , public std::enable_shared_from_this<connector_leaf_client>
{
public:
  connector_leaf_client(net::http_connector& aConnector,
                        model::leaf aLeaf,
                        const connection_settings& aSettings,
                        clock aClock)
    : mConnector(aConnector)
    , mLeaf(std::move(aLeaf))
    , mClock(std::move(aClock))
    , mState(aSettings)
  {
  }

  void Execute(const execute_request& aRequest,
               model::duration aTimeout,
               send_check aMaySend,
               attempt_callback aDone) override
  {
    const model::instant now = mClock();
    Start(std::make_shared<attempt>(attempt{
      aRequest, now, now + aTimeout, std::move(aMaySend), std::move(aDone) }));
  }

  void Cancel(const model::attempt_id& aAttempt) override
  {
    const acquired_connection acquired = Acquire(true);
    if (acquired.mKind == choice_kind::Full) {
      return;
    }
    acquired.mConnection->Exchange(EncodeCancel(aAttempt),
                                   kCancelTimeout,
                                   [self = shared_from_this(), acquired](
                                     const net::exchange_result& aResult) {
                                     self->End(acquired,
                                               ToExchangeEnd(aResult));
                                   });
  }

  void Probe(model::duration aTimeout, state_callback aDone) override
  {
    ProbeLiveness(aTimeout,
                  [done = std::move(aDone)](const probe_result& aEnd) {
                    done(aEnd.mState);
                  });
  }

  void ProbeLiveness(model::duration aTimeout, probe_callback aDone) override
  {
    const acquired_connection acquired = Acquire(true);
    if (acquired.mKind == choice_kind::Full) {
      aDone({});
      return;
    }
    acquired.mConnection->Exchange(
      net::http_request{ "GET", kStateTarget, "" },
      aTimeout,
      [self = shared_from_this(), acquired, done = std::move(aDone)](
        const net::exchange_result& aResult) {
        self->End(acquired, ToExchangeEnd(aResult));
        const bool refused =
          aResult.mError == net::exchange_error::ConnectRefused;
        done({ StateOf(aResult), refused });
      });
  }

  void SetLimit(int aLimit) override
  {
    std::vector<connection_ptr> closing;
    {
      const std::lock_guard lock(mMutex);
      closing = Remove(mState.SetLimit(aLimit));
    }
    Close(closing);
  }

  void OnTimer() override
  {
    std::vector<connection_ptr> closing;
    {
      const std::lock_guard lock(mMutex);
      closing = Remove(mState.OnTimer(mClock()));
    }
    Close(closing);
  }

  std::size_t Connections() const override
  {
    const std::lock_guard lock(mMutex);
    return mState.Count();
  }

private:
  static std::optional<leaf_state> StateOf(const net::exchange_result& aResult)
  {
    if (aResult.mState != net::send_state::Replied) {
      return std::nullopt;
    }
    return DecodeState(aResult.mResponse);
  }

  static void Close(const std::vector<connection_ptr>& aConnections)
  {
    for (const connection_ptr& connection : aConnections) {
      connection->Close();
    }
  }

  /** Removes connections; the caller closes them after it releases mMutex. */
  std::vector<connection_ptr> Remove(
    const std::vector<connection_number>& aNumbers)
  {
    std::vector<connection_ptr> out;
    for (const connection_number number : aNumbers) {
      const auto found = mConnections.find(number);
      if (found != mConnections.end()) {
        out.push_back(std::move(found->second));
        mConnections.erase(found);
      }
    }
    return out;
  }

  /** Reserves an open connection or a new one; Full if neither is possible. */
  acquired_connection Acquire(bool aIdempotent)
  {
    std::vector<connection_ptr> closing;
    acquired_connection out;
    {
      const std::lock_guard lock(mMutex);
      out = AcquireLocked(aIdempotent, closing);
    }
    Close(closing);
    return out;
  }

  acquired_connection AcquireLocked(bool aIdempotent,
                                    std::vector<connection_ptr>& aClosing)
  {
    while (true) {
      const connection_choice choice = mState.Choose(aIdempotent, mClock());
      for (auto& connection : Remove(choice.mClose)) {
        aClosing.push_back(std::move(connection));
      }
      if (choice.mKind == choice_kind::Full) {
        return {};
      }
      connection_ptr& slot = mConnections[choice.mConnection];
      if (choice.mKind == choice_kind::Open) {
        slot = mConnector.Open(mLeaf.mEndpoint);
      } else if (!slot->IsOpen()) {
        // The leaf closed this connection while it was idle; nothing was sent.
        const auto ended =
          mState.OnEnd(choice.mConnection, exchange_end::Broken, mClock());
        for (auto& connection : Remove(ended)) {
          aClosing.push_back(std::move(connection));
        }
        continue;
      }
      return { choice.mKind, choice.mConnection, slot };
    }
  }

  void End(const acquired_connection& aAcquired, exchange_end aEnd)
  {
    const bool open = aAcquired.mConnection->IsOpen();
    const bool closed = aEnd == exchange_end::Replied && !open;
    std::vector<connection_ptr> closing;
    {
      const std::lock_guard lock(mMutex);
      closing = Remove(mState.OnEnd(
        aAcquired.mNumber, closed ? exchange_end::Broken : aEnd, mClock()));
    }
    Close(closing);
  }

  /** Completes an attempt of which no byte was sent. */
  void NotSent(const attempt_ptr& aAttempt, const char* aReason)
  {
    attempt_end end = EmptyEnd(*aAttempt);
    end.mResult.mOutcome = model::attempt_outcome::NotSent;
    end.mResult.mReason = aReason;
    aAttempt->mDone(end);
  }

  attempt_end EmptyEnd(const attempt& aAttempt) const
  {
    attempt_end end;
    end.mResult.mAttempt = aAttempt.mRequest.mAttempt;
    end.mResult.mShard = aAttempt.mRequest.mShard;
    end.mResult.mLeaf = mLeaf.mId;
    return end;
  }

  void Start(const attempt_ptr& aAttempt)
  {
    if (mClock() >= aAttempt->mDeadline) {
      NotSent(aAttempt, kReasonExpired);
      return;
    }
    const acquired_connection acquired =
      Acquire(aAttempt->mRequest.mIdempotent);
    switch (acquired.mKind) {
      case choice_kind::Full:
        NotSent(aAttempt, kReasonNoConnection);
        break;
      case choice_kind::Verify:
        Verify(aAttempt, acquired);
        break;
      case choice_kind::Use:
      case choice_kind::Open:
        Send(aAttempt, acquired);
        break;
    }
  }

  void Verify(const attempt_ptr& aAttempt, const acquired_connection& aAcquired)
  {
    const model::duration remaining = aAttempt->mDeadline - mClock();
    aAcquired.mConnection->Exchange(
      net::http_request{ "GET", kStateTarget, "" },
      std::min<model::duration>(remaining, kVerifyTimeout),
      [self = shared_from_this(), aAttempt, aAcquired](
        const net::exchange_result& aResult) {
        self->OnVerifyEnd(aAttempt, aAcquired, aResult);
      });
  }

  void OnVerifyEnd(const attempt_ptr& aAttempt,
                   const acquired_connection& aAcquired,
                   const net::exchange_result& aResult)
  {
    if (!StateOf(aResult) || !aAcquired.mConnection->IsOpen()) {
      const exchange_end end = ToExchangeEnd(aResult);
      const bool replied = end == exchange_end::Replied;
      End(aAcquired, replied ? exchange_end::Broken : end);
      // Each failed check removes a connection, so the recursion ends.
      Start(aAttempt);
      return;
    }
    std::vector<connection_ptr> closing;
    {
      const std::lock_guard lock(mMutex);
      closing = Remove(mState.OnVerified(aAcquired.mNumber, mClock()));
    }
    Close(closing);
    Send(aAttempt, aAcquired);
  }

  void Send(const attempt_ptr& aAttempt, const acquired_connection& aAcquired)
  {
    const model::instant now = mClock();
    const bool allowed = !aAttempt->mMaySend || aAttempt->mMaySend();
    if (now >= aAttempt->mDeadline || !allowed) {
      End(aAcquired, exchange_end::Unused);
      NotSent(aAttempt, kReasonExpired);
      return;
    }
    execute_request request = aAttempt->mRequest;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - aAttempt->mStarted);
    request.mRemaining =
      std::max(std::chrono::milliseconds(0), request.mRemaining - elapsed);
    aAcquired.mConnection->Exchange(
      EncodeExecute(request),
      aAttempt->mDeadline - now,
      [self = shared_from_this(), aAttempt, aAcquired](
        const net::exchange_result& aResult) {
        self->OnReply(aAttempt, aAcquired, aResult);
      });
  }

  void OnReply(const attempt_ptr& aAttempt,
               const acquired_connection& aAcquired,
               const net::exchange_result& aResult)
  {
    const bool unsent = aResult.mState == net::send_state::NotSent &&
                        aResult.mError == net::exchange_error::Closed;
    if (unsent && aAcquired.mKind != choice_kind::Open) {
      // The leaf had closed this idle connection before any byte was sent, so
      // the attempt can go over another one. Each retry removes a connection,
      // so the recursion ends.
      End(aAcquired, exchange_end::Broken);
      Start(aAttempt);
      return;
    }
    attempt_end end = EmptyEnd(*aAttempt);
    const exchange_end exchangeEnd = Conclude(aAttempt->mRequest, aResult, end);
    End(aAcquired, exchangeEnd);
    aAttempt->mDone(end);
  }

  net::http_connector& mConnector;
  const model::leaf mLeaf;
  const clock mClock;
  mutable std::mutex mMutex; ///< Rank: leaf client; takes no other lock.
  connection_state mState;
  std::map<connection_number, connection_ptr> mConnections;
};

} // namespace

std::shared_ptr<leaf_client>
leaf_client::Create(net::http_connector& aConnector,
                    const model::leaf& aLeaf,
                    const connection_settings& aSettings,
                    clock aClock)
{
  return std::make_shared<connector_leaf_client>(
    aConnector, aLeaf, aSettings, std::move(aClock));
}

} // namespace monsooncroft::link
