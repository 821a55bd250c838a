/**
 * @file answer_matcher_test.cpp
 * Guards against second copies of answers that count for another send: the
 * request then runs twice, or its caller is told that it did not run.
 *
 * A leaf sends copies of its answers, late, on connections that are in use
 * again, while connections break and requests are sent again. Each seed gives
 * one order of these events; no socket is used.
 */
#include "gateway/answer_matcher_base.h"

#include "gateway/leaf_attempt_type.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <optional>
#include <random>

namespace monsooncroft::gateway {
namespace {

constexpr int kSeeds = 2'000;
constexpr int kEventsPerSeed = 250;
constexpr std::size_t kConnections = 3;
constexpr std::size_t kRequests = 4;
constexpr int kMaxAttempts = 4;

struct sent_answer
{
  int mSend = 0; ///< Number of the send that it belongs to.
  int mStatus = 0;
  bool mSaysNotRun = false;
  std::optional<std::string> mRequestId;
};

struct test_request
{
  std::shared_ptr<leaf_request> mText; ///< Null once its caller has an answer.
  int mAttempts = 0;
  bool mInProgress = false;
  bool mMayHaveRun = false;
};

struct test_connection
{
  answer_matcher mMatcher;
  std::vector<sent_answer> mHistory; ///< Copies of these may follow.
  std::deque<sent_answer> mDue;      ///< Answers that the leaf has not sent.
  test_request* mRequest = nullptr;  ///< In progress.
  int mSend = 0;                     ///< Number of the last send.
};

/** One order of events. */
class copies_world
{
public:
  explicit copies_world(std::uint64_t aSeed)
    : mRandom(aSeed)
    , mConnections(kConnections)
    , mRequests(kRequests)
  {
  }

  void Play()
  {
    for (int event = 0; event < kEventsPerSeed && !testing::Test::HasFailure();
         ++event) {
      test_connection& connection = Pick(mConnections);
      switch (Below(6)) {
        case 0:
        case 1:
          Send(connection, Pick(mRequests));
          break;
        case 2:
        case 3:
          DeliverDue(connection);
          break;
        case 4:
          DeliverCopy(connection);
          break;
        default:
          if (Below(5) == 0) {
            Cut(connection);
          }
      }
    }
  }

  int Refusals() const { return mRefusals; }

private:
  std::size_t Below(std::size_t aBound) { return mRandom() % aBound; }
  template<class T>
  T& Pick(std::vector<T>& aItems)
  {
    return aItems[Below(aItems.size())];
  }

  void Send(test_connection& aConnection, test_request& aRequest)
  {
    if (!aRequest.mText) {
      aRequest = {};
      aRequest.mText = std::make_shared<leaf_request>();
      aRequest.mText->mRequestId = "request-" + std::to_string(++mIds);
      aRequest.mText->mRunOnce = Below(2) == 0;
    }
    if (aRequest.mInProgress || aConnection.mRequest != nullptr ||
        !aConnection.mMatcher.MayCarry(aRequest.mText)) {
      return;
    }
    aConnection.mMatcher.OnSend(aRequest.mText);
    aConnection.mRequest = &aRequest;
    aConnection.mSend = ++mSends;
    aRequest.mInProgress = true;
    ++aRequest.mAttempts;
    aConnection.mDue.push_back(Handle(aRequest, aConnection.mSend));
  }

  /** What the leaf does with a request. */
  sent_answer Handle(const test_request& aRequest, int aSend)
  {
    sent_answer answer;
    answer.mSend = aSend;
    if (Below(4) != 0) {
      answer.mRequestId = aRequest.mText->mRequestId;
    }
    if (Below(2) == 0) {
      constexpr int kRefusals[] = { 503, 429, 421 };
      answer.mStatus = kRefusals[Below(3)];
      answer.mSaysNotRun = answer.mStatus != 421;
      return answer;
    }
    answer.mStatus = Below(3) == 0 ? 500 : 200;
    mRunSends[aSend] = true;
    const int runs = ++mRuns[aRequest.mText->mRequestId];
    EXPECT_FALSE(aRequest.mText->mRunOnce && runs > 1)
      << aRequest.mText->mRequestId << " ran twice";
    return answer;
  }

  void DeliverDue(test_connection& aConnection)
  {
    if (!aConnection.mDue.empty()) {
      const sent_answer due = aConnection.mDue.front();
      aConnection.mDue.pop_front();
      aConnection.mHistory.push_back(due);
      Deliver(aConnection, due);
    }
  }

  void DeliverCopy(test_connection& aConnection)
  {
    if (!aConnection.mHistory.empty()) {
      Deliver(aConnection, sent_answer(Pick(aConnection.mHistory)));
    }
  }

  void Deliver(test_connection& aConnection, const sent_answer& aAnswer)
  {
    if (aConnection.mRequest == nullptr) {
      aConnection = {}; // Bytes without a request end a connection.
      return;
    }
    const answer_match match = aConnection.mMatcher.OnAnswer(
      { aAnswer.mStatus,
        aAnswer.mRequestId ? &*aAnswer.mRequestId : nullptr,
        aAnswer.mSaysNotRun });
    test_request& request = *aConnection.mRequest;
    switch (match) {
      case answer_match::Interim:
      case answer_match::Foreign:
        return;
      case answer_match::Excess:
        Cut(aConnection);
        return;
      case answer_match::Answered:
        EXPECT_EQ(aAnswer.mSend, aConnection.mSend)
          << "the answer belongs to another send";
        request.mText.reset();
        break;
      case answer_match::Refused:
        EXPECT_FALSE(mRunSends[aConnection.mSend])
          << "a request that runs counts as refused";
        ++mRefusals;
        Retry(request);
        break;
      case answer_match::AmbiguousRefusal:
      case answer_match::Unidentified:
        request.mMayHaveRun = true;
        Retry(request);
        break;
    }
    aConnection.mRequest = nullptr;
    request.mInProgress = false;
    if (!aConnection.mMatcher.Reusable()) {
      aConnection = {};
    }
  }

  void Cut(test_connection& aConnection)
  {
    if (aConnection.mRequest != nullptr) {
      test_request& request = *aConnection.mRequest;
      request.mInProgress = false;
      request.mMayHaveRun = true;
      Retry(request);
    }
    aConnection = {};
  }

  /** Ends the request unless it may be sent again. */
  void Retry(test_request& aRequest)
  {
    const bool mayResend = !aRequest.mText->mRunOnce || !aRequest.mMayHaveRun;
    if (mayResend && aRequest.mAttempts < kMaxAttempts) {
      return;
    }
    EXPECT_TRUE(aRequest.mMayHaveRun || mRuns[aRequest.mText->mRequestId] == 0)
      << "the caller is told that a request did not run that ran";
    aRequest.mText.reset();
  }

  std::mt19937_64 mRandom;
  std::vector<test_connection> mConnections;
  std::vector<test_request> mRequests;
  std::map<std::string, int> mRuns; ///< By request id.
  std::map<int, bool> mRunSends;    ///< By number of the send.
  int mIds = 0;
  int mSends = 0;
  int mRefusals = 0;
};

TEST(answer_matcher, CopiesOfAnswersCountForNoOtherSend)
{
  int refusals = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds && !HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    copies_world world(seed);
    world.Play();
    refusals += world.Refusals();
  }
  EXPECT_GT(refusals, kSeeds); // Requests are sent again.
}

} // namespace
} // namespace monsooncroft::gateway
