/**
 * @file relay_test.cpp
 * Queries that an instance hands to roots, and roots that fail.
 */
#include "instance_fixture.h"

#include "gateway/relay_client_base.h"
#include "support/answer_cases.h"

#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kConfirmation = "HTTP/1.1 102 Processing\r\n\r\n";

std::string
Result(int aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
         "Content-Length: 2\r\n\r\nok";
}

/** A caller's server that hands each request to a relay_client; its roots are
 * written by the test. */
class relay_test : public instance_fixture
{
protected:
  class handler : public request_handler
  {
  public:
    explicit handler(relay_test& aTest)
      : mTest(aTest)
    {
    }
    void OnRequest(const exchange_ptr& aExchange) override
    {
      const model::instant now = event_loop::Now();
      relayed_query query;
      query.mExchange = aExchange;
      query.mRequestId = "r";
      query.mRouteName = "all";
      query.mConfigVersion = 7;
      query.mUsesWorkspaces = !mTest.mWorkspace.empty();
      query.mWorkspace = mTest.mWorkspace;
      query.mAnswerBy = now + milliseconds(60);
      query.mDeadline = now + milliseconds(900);
      query.mMaxAttempts = mTest.mMaxAttempts;
      mTest.mClient.Send(
        std::move(query),
        [this, aExchange](const serving::attempt_grant& aGrant) {
          mTest.mFallback = aGrant.mIsResent;
          aExchange->Respond({ 200, {}, "direct" });
        },
        now);
      std::this_thread::sleep_for(mTest.mBusyAfterSend);
    }

  private:
    relay_test& mTest;
  };

  relay_test()
    : mClient(mLoop,
              mSettings.mHeaderNames,
              "self",
              milliseconds(120),
              mLog,
              mMetrics)
    , mHandler(*this)
    , mServer(mLoop, mSettings.mCallerAddress, mHandler, mLog)
  {
  }

  /** Adds a root; those that were added first are used first. */
  fake_leaf& AddRoot(fake_leaf::on_request aOnRequest)
  {
    mLeaves.push_back(
      std::make_unique<fake_leaf>(mLoop, mLog, std::move(aOnRequest)));
    mAddresses.push_back({ "root" + std::to_string(mAddresses.size()),
                           mLeaves.back()->Address(),
                           1,
                           mAddresses.empty() });
    mClient.SetRoots(mAddresses);
    return *mLeaves.back();
  }
  static fake_leaf::on_request Answering(const std::string& aBytes)
  {
    return [=](auto& aConnection, const auto& /*aRequest*/) {
      aConnection.Write(aBytes);
    };
  }

  std::string mWorkspace; ///< Of the callers; empty: there are none.
  std::vector<serving::root_address> mAddresses;
  int mMaxAttempts = 2;          ///< Of the queries' route.
  std::optional<bool> mFallback; ///< Whether the query may have run.
  /** Time for which the instance does nothing else after it has started to hand
   * a query over. */
  milliseconds mBusyAfterSend{ 0 };
  relay_client mClient;
  handler mHandler;
  uv_http_server mServer;
};

TEST_F(relay_test, ARootAnswersTheQuery)
{
  http_message received;
  fake_leaf& root = AddRoot([&](auto& aConnection, const auto& aRequest) {
    received = aRequest;
    aConnection.Write(kConfirmation + Result(200, "X-Sigs: a\r\n"));
  });
  const http_message answer = SendRequest("/all/x?y=1", "r");
  EXPECT_EQ(answer.mStatus, 200);
  EXPECT_EQ(answer.mBody, "ok");
  EXPECT_EQ(*answer.Find("X-Sigs"), "a");
  EXPECT_EQ(received.mTarget, "/all/x?y=1");
  EXPECT_EQ(*received.Find("Host"), "h");
  EXPECT_EQ(*received.Find("X-Id"), "r");
  EXPECT_EQ(*received.Find("Relay-Config"), "7");
  EXPECT_GT(std::stol(*received.Find("Relay-Answer-Within")), 10'000);
  EXPECT_EQ(received.Find("Relay-Resent"), nullptr);
  EXPECT_LE(std::stol(*received.Find("X-Left")), 900);
  SendRequest("/all/x", "r");
  EXPECT_EQ(root.mConnections.size(), 1U); // Kept between queries.
}

/** Callers' fields reached the root before those of the instance, and were read
 * in their place. */
TEST_F(relay_test, ACallerCannotSetTheFieldsBetweenInstances)
{
  http_message received;
  AddRoot([&](auto& aConnection, const auto& aRequest) {
    received = aRequest;
    aConnection.Write(kConfirmation + Result(200, ""));
  });
  const std::string forged = "Relay-Config: 3\r\nRelay-Resent: 1\r\n"
                             "relay_answer-within: 1\r\n"
                             "Relay-Workspace: other\r\nRelay-Later: 1\r\n"
                             "X-Mine: 1\r\nAuthorization: Bearer k\r\n";
  SendRequest("/all/x", "r", forged);
  EXPECT_EQ(*received.Find("Relay-Config"), "7");
  EXPECT_EQ(received.Find("Relay-Resent"), nullptr);
  EXPECT_EQ(received.Find("relay_answer-within"), nullptr);
  EXPECT_EQ(received.Find("Relay-Workspace"), nullptr);
  EXPECT_EQ(received.Find("Relay-Later"), nullptr);
  EXPECT_NE(received.Find("X-Mine"), nullptr);
  EXPECT_EQ(*received.Find("Authorization"), "Bearer k");

  mWorkspace = "acme";
  mSettings.mHeaderNames.mWorkspace = "X-Workspace";
  SendRequest("/all/x", "r", forged + "x_workspace: other\r\n");
  EXPECT_EQ(*received.Find("Relay-Workspace"), "acme");
  EXPECT_EQ(received.Find("Authorization"), nullptr);
  EXPECT_EQ(received.Find("x_workspace"), nullptr);
  EXPECT_NE(received.Find("X-Mine"), nullptr);
}

/** A root that is suspended or cut off accepts the connection, or has accepted
 * it before, and says nothing. */
TEST_F(relay_test, ARootThatDoesNotConfirmIsReplacedInTime)
{
  fake_leaf& silent =
    AddRoot([](auto& /*aConnection*/, const auto& /*aRequest*/) {});
  http_message received;
  AddRoot([&](auto& aConnection, const auto& aRequest) {
    received = aRequest;
    aConnection.Write(kConfirmation + Result(200, ""));
  });
  const model::instant start = event_loop::Now();
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 200);
  EXPECT_LT(event_loop::Now() - start, milliseconds(80));
  EXPECT_EQ(*received.Find("Relay-Resent"), "1");
  ASSERT_FALSE(silent.mConnections.empty());
  EXPECT_TRUE(silent.mConnections.front()->Ended()); // Cancels the query.
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 200);
  EXPECT_EQ(silent.mRequests, 1);
  EXPECT_FALSE(mFallback);
}

/** Confirms and answers one query in a thread of its own, while the instance's
 * loop is busy. */
class prompt_root
{
public:
  prompt_root()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(::bind(mListener, generic, length), 0);
    EXPECT_EQ(::listen(mListener, 8), 0);
    EXPECT_EQ(::getsockname(mListener, generic, &length), 0);
    mPort = ntohs(address.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~prompt_root()
  {
    ::shutdown(mListener, SHUT_RDWR); // Ends accept().
    mThread.join();
    ::close(mListener);
  }
  prompt_root(const prompt_root&) = delete;
  prompt_root& operator=(const prompt_root&) = delete;
  prompt_root(prompt_root&&) = delete;
  prompt_root& operator=(prompt_root&&) = delete;

  model::endpoint Address() const { return { "127.0.0.1", mPort }; }

private:
  void Serve() const
  {
    const int connection = ::accept(mListener, nullptr, nullptr);
    std::string request;
    std::array<char, 4'096> buffer{};
    while (connection >= 0 && request.find("\r\n\r\n") == std::string::npos) {
      const auto count = ::recv(connection, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      request.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const std::string answer = kConfirmation + Result(200, "");
    std::this_thread::sleep_for(milliseconds(5)); // A round trip.
    ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    ::close(connection);
  }

  int mListener = ::socket(AF_INET, SOCK_STREAM, 0);
  std::uint16_t mPort = 0;
  std::thread mThread;
};

/** The timers of a busy receiver ran late, several in a row without a read in
 * between. It sent the query to another root, although the first had answered,
 * so that the query could run on more leaves of a shard than its route allows.
 */
TEST_F(relay_test, AConfirmationCountsThatArrivesWhileTheInstanceIsBusy)
{
  const prompt_root root;
  mAddresses.push_back({ "prompt", root.Address(), 1, true });
  mClient.SetRoots(mAddresses);
  loop_timer third(mLoop, [] {});
  loop_timer second(mLoop, [&] {
    std::this_thread::sleep_for(milliseconds(4));
    third.Start(milliseconds(0));
  });
  loop_timer first(mLoop, [&] {
    std::this_thread::sleep_for(milliseconds(60));
    second.Start(milliseconds(0));
  });
  first.Start(milliseconds(4));
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "ok");
  EXPECT_FALSE(mFallback);
}

/** The same, with a connection that is established meanwhile. */
TEST_F(relay_test, AConnectionCountsThatIsEstablishedWhileTheInstanceIsBusy)
{
  const prompt_root root;
  mAddresses.push_back({ "prompt", root.Address(), 1, true });
  mClient.SetRoots(mAddresses);
  mBusyAfterSend = milliseconds(60);
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "ok");
  EXPECT_FALSE(mFallback);
}

/** Two roots that did not confirm a query could both execute it, with more
 * attempts than its route allows; then its receiver did so as well. */
TEST_F(relay_test, AQueryIsNotHandedOverWithoutAttemptsLeft)
{
  const auto silent = [](auto& /*aConnection*/, const auto& /*aRequest*/) {};
  fake_leaf& first = AddRoot(silent);
  fake_leaf& second = AddRoot(silent);
  mMaxAttempts = 1;
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 502);
  EXPECT_EQ(first.mRequests, 1);
  EXPECT_EQ(second.mRequests, 0);
  EXPECT_FALSE(mFallback);
  RunFor(milliseconds(2'100)); // The first root is used again.
  mMaxAttempts = 2;
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 502);
  EXPECT_EQ(first.mRequests, 2);
  EXPECT_EQ(second.mRequests, 1);
  EXPECT_FALSE(mFallback);
}

/** A root whose confirmation was late had executed the query; its answer was
 * thrown away. */
TEST_F(relay_test, TheAnswerOfARootThatConfirmedTooLateIsPassedOn)
{
  std::unique_ptr<loop_timer> delay;
  AddRoot([&](auto& aConnection, const auto& /*aRequest*/) {
    delay = std::make_unique<loop_timer>(mLoop, [&aConnection] {
      aConnection.Write(kConfirmation + Result(200, ""));
    });
    delay->Start(milliseconds(80));
  });
  fake_leaf& second =
    AddRoot([](auto& /*aConnection*/, const auto& /*aRequest*/) {});
  const http_message answer = SendRequest("/all/x", "r");
  EXPECT_EQ(answer.mStatus, 200);
  EXPECT_EQ(answer.mBody, "ok");
  ASSERT_EQ(second.mRequests, 1);
  EXPECT_TRUE(second.mConnections.front()->Ended()); // Cancels the query.
}

/** The instance that received the query divides its attempts: a root that was
 * given all of them is not replaced. */
TEST_F(relay_test, ARootAsksForTheAttemptsOfItsHedges)
{
  std::vector<http_message> received;
  std::string last = Result(200, "");
  AddRoot([&](auto& aConnection, const auto& aRequest) {
    received.push_back(aRequest);
    if (received.size() == 1) {
      aConnection.Write(kConfirmation + "HTTP/1.1 102 Processing\r\n"
                                        "Relay-Attempts: 1\r\n\r\n");
    } else if (last.empty()) {
      aConnection.Reset();
    } else {
      aConnection.Write(last);
    }
  });
  AddRoot(Answering(kConfirmation + Result(200, "")));
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 200);
  ASSERT_EQ(received.size(), 2U);
  EXPECT_EQ(*received[0].Find("Relay-Attempts"), "1");
  EXPECT_EQ(*received[0].Find("Relay-Attempts-Reserved"), "1");
  EXPECT_EQ(*received[1].Find("Relay-Grant"), "r");
  EXPECT_EQ(*received[1].Find("Relay-Attempts"), "1");
  received.clear();
  last.clear();
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 502);
  EXPECT_FALSE(mFallback);
}

TEST_F(relay_test, ARootThatRefusesConnectionsHasNotRunTheQuery)
{
  AddRoot(Answering("")).Stop();
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "direct");
  EXPECT_EQ(mFallback, std::optional(false));
}

/** A root that ends with a query may have run it: what follows draws on the
 * retry budget, and does not say that nothing has run. */
TEST_F(relay_test, ARootThatEndsWithAQueryMayHaveRunIt)
{
  AddRoot([](auto& aConnection, const auto& /*aRequest*/) {
    aConnection.Write(kConfirmation);
    aConnection.Reset();
  });
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "direct");
  EXPECT_EQ(mFallback, std::optional(true));
  mFallback.reset();
  RunFor(milliseconds(2'100)); // The root is used again.
  AddRoot(Answering(kConfirmation + Result(503, "Retry-After: 1\r\n")));
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 502);
  EXPECT_FALSE(mFallback);
}

/** Of the statuses that mean that a request has not run, only 503 was withheld
 * from a caller whose query a lost root may have run. */
TEST_F(relay_test, NoStatusSaysThatAQueryThatALostRootMayHaveRunHasNotRun)
{
  std::string answer;
  AddRoot([](auto& aConnection, const auto& /*aRequest*/) {
    aConnection.Write(kConfirmation);
    aConnection.Reset();
  });
  AddRoot([&](auto& aConnection, const auto& /*aRequest*/) {
    aConnection.Write(answer);
  });
  for (const int status : { 408, 421, 429, 503 }) {
    answer = kConfirmation + Result(status, "");
    EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 502) << status;
    RunFor(milliseconds(2'100)); // The first root is used again.
  }
}

TEST_F(relay_test, OverloadedRootsAreNotAskedAgain)
{
  const auto refuse = Answering(Result(503, "Relay-Refused: overloaded\r\n"));
  fake_leaf& first = AddRoot(refuse);
  fake_leaf& second = AddRoot(refuse);
  fake_leaf& third = AddRoot(refuse);
  const http_message answer = SendRequest("/all/x", "r");
  EXPECT_EQ(answer.mStatus, 503);
  EXPECT_NE(answer.Find("Retry-After"), nullptr);
  EXPECT_EQ(first.mRequests + second.mRequests + third.mRequests, 2);
  EXPECT_FALSE(mFallback);
}

TEST_F(relay_test, ARootWithAnOlderConfigurationIsPassedOver)
{
  AddRoot(Answering(Result(503, "Relay-Refused: older configuration\r\n")));
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "direct");
  EXPECT_EQ(mFallback, std::optional(false));
}

TEST_F(relay_test, BytesThatAreNoAnswerAreNotPassedOn)
{
  AddRoot(Answering("\x01\x02\x03 no answer\r\n\r\n"));
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "direct");
  RunFor(milliseconds(2'100));
  mAddresses.clear();
  AddRoot([](auto& aConnection, const auto& /*aRequest*/) {
    aConnection.Write(kConfirmation +
                      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    aConnection.ShutDown();
  });
  EXPECT_EQ(SendRequest("/all/x", "r").mBody, "direct");
}

/** The answer of a root in trouble reached the caller. */
TEST_F(relay_test, BrokenAnswersAreNotPassedOn)
{
  // Each case needs a root that has not failed yet.
  constexpr std::size_t kStep = 13;
  for (const test_support::broken_part& part : test_support::BrokenParts()) {
    const auto cases = part.mMake("X-Sigs: a\r\n");
    for (std::size_t index = 0; index < cases.size(); index += kStep) {
      mAddresses.clear();
      mFallback.reset();
      const fake_leaf& root =
        AddRoot(Answering(kConfirmation + cases[index].mText));
      EXPECT_EQ(SendRequest("/all/x", "r").mBody, "direct")
        << cases[index].mName;
      EXPECT_EQ(mFallback, std::optional(true)) << cases[index].mName;
      EXPECT_EQ(root.mRequests, 1) << cases[index].mName;
    }
  }
  EXPECT_NE(mMetrics.Exposition().find("malformed answer"), std::string::npos);
}

TEST_F(relay_test, TheRootLearnsThatTheCallerHasLeft)
{
  fake_leaf& root = AddRoot(Answering(kConfirmation));
  http_channel caller(mLoop, mSettings.mCallerAddress);
  caller.Call("GET /all/x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n",
              seconds(1),
              [](const std::optional<http_message>& /*aAnswer*/) {});
  RunFor(milliseconds(50));
  ASSERT_EQ(root.mRequests, 1);
  caller.Cancel();
  RunFor(milliseconds(50));
  EXPECT_TRUE(root.mConnections.front()->Ended());
}

/** Two instances whose leaves accept too few connections for both. */
class root_test : public instance_fixture
{
protected:
  root_test()
  {
    AddLeaf("s1", [](auto& aConnection, const auto& aRequest) {
      aConnection.Write(OkAnswer(aRequest, "sig1", std::string(16, 'a')));
    });
    AddLeaf("s2", [](auto& aConnection, const auto& aRequest) {
      aConnection.Write(OkAnswer(aRequest, "sig2", std::string(16, 'z')));
    });
    AddFanOutRoute({ "s1", "s2" }, 1);
    mStore.mContent.mServices["s1"] = { 1 };
    mStore.mContent.mServices["s2"] = { 1 };
    mRootSettings = mSettings;
    mRootSettings.mName = "root";
    mRootSettings.mCapacity = 4;
    const auto port =
      static_cast<std::uint16_t>(mSettings.mCallerAddress.mPort + 7'000);
    mRootSettings.mCallerAddress.mPort = port;
    mRootSettings.mReadinessAddress.mPort = port + 1;
    mRootSettings.mPeerAddress.mPort = port + 2;
    mRootSettings.mRelayAddress = { "127.0.0.1",
                                    static_cast<std::uint16_t>(port + 1'000) };
    mSettings.mSeeds = { mRootSettings.mPeerAddress };
    mRootStore.mLeaves = mStore.mLeaves;
    mRootStore.mContent = mStore.mContent;
  }
  ~root_test() override { mRoot.reset(); }
  void StartBoth()
  {
    mRoot = std::make_unique<entry_instance>(
      mLoop, mRootSettings, mRootStore, mLog, mRootMetrics, mSink);
    Start();
    RunFor(milliseconds(2'000));
  }
  /** Queries that the instance without open connections has handed over. */
  int Relayed() const
  {
    const std::string metrics = mMetrics.Exposition();
    const std::string name = "outcome=\"relayed\"";
    const auto position = metrics.find(name);
    return position == std::string::npos
             ? 0
             : std::stoi(metrics.substr(metrics.find(' ', position)));
  }
  /** Sends a query to the root as another instance does. */
  http_message Hand(const std::string& aFields)
  {
    http_channel channel(mLoop, mRootSettings.mRelayAddress);
    std::optional<http_message> answer;
    bool done = false;
    channel.Call("GET /all/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n" + aFields +
                   "\r\n",
                 seconds(1),
                 [&](std::optional<http_message> aAnswer) {
                   answer = std::move(aAnswer);
                   done = true;
                 });
    for (int round = 0; round < 200 && !done; ++round) {
      RunFor(milliseconds(10));
    }
    return answer.value_or(http_message{});
  }

  instance_settings mRootSettings;
  fake_store mRootStore;
  ops::metrics mRootMetrics;
  std::unique_ptr<entry_instance> mRoot;
};

/** Few queries over many instances: an instance without open connections hands
 * them to one that has them. */
TEST_F(root_test, AQueryIsExecutedWhereConnectionsAreOpen)
{
  StartBoth();
  const http_message answer = SendRequest("/all/x", "r1");
  EXPECT_EQ(answer.mStatus, 200);
  EXPECT_EQ(answer.mBody, std::string(16, 'z') + std::string(16, 'a'));
  EXPECT_EQ(*answer.Find("X-Sigs"), "sig1, sig2");
  EXPECT_EQ(*answer.Find("X-Missing"), "0");
  EXPECT_EQ(Relayed(), 1);
}

/** An instance that hands its fan-outs to roots has connections to few services
 * only; it counted as not ready when one of them failed. */
TEST_F(root_test, AFailedServiceDoesNotMakeAnInstanceUnready)
{
  for (const char* service : { "s3", "s4" }) {
    AddLeaf(service, [](auto& aConnection, const auto& aRequest) {
      aConnection.Write(OkAnswer(aRequest, "sig", std::string(16, 'a')));
    });
    mStore.mContent.mServices[service] = { 1 };
  }
  mStore.mContent.mRoutes.back().mShards = { "s1", "s2", "s3", "s4" };
  AddSingleServiceRoute(serving::repeatability::RunOnce); // Without a leaf.
  mRootStore.mLeaves = mStore.mLeaves;
  mRootStore.mContent = mStore.mContent;
  StartBoth();
  mSettings.mCallerAddress = mSettings.mReadinessAddress;
  EXPECT_EQ(SendRequest("/ready", "r").mStatus, 200);
}

TEST_F(root_test, ARootThatStopsGetsNoFurtherQueries)
{
  StartBoth();
  ASSERT_EQ(SendRequest("/all/x", "r1").mStatus, 200);
  mRoot->Stop("test");
  RunFor(milliseconds(500)); // Two gossip rounds.
  const int before = mLeaves.front()->mRequests;
  EXPECT_EQ(SendRequest("/all/x", "r2").mStatus, 200);
  EXPECT_EQ(mLeaves.front()->mRequests, before + 1);
  EXPECT_EQ(Relayed(), 1);
}

TEST_F(root_test, QueriesThatCannotBeReadAreRefused)
{
  StartBoth();
  const std::string within = "Relay-Answer-Within: 50000\r\n";
  const std::vector<std::string> malformed{
    "",
    "Relay-Config: 1\r\n",
    within,
    within + "Relay-Config: one\r\n",
    within + "Relay-Config: -1\r\n",
    "Relay-Config: 1\r\nRelay-Answer-Within: 1 ms\r\n"
  };
  for (const std::string& fields : malformed) {
    const http_message answer = Hand(fields);
    EXPECT_EQ(answer.mStatus, 503) << fields;
    EXPECT_NE(answer.Find("Relay-Refused"), nullptr) << fields;
  }
  // A configuration that the root does not have yet.
  EXPECT_EQ(*Hand(within + "Relay-Config: 2\r\n").Find("Relay-Refused"),
            "older configuration");
  EXPECT_EQ(mLeaves.front()->mRequests, 0);
  EXPECT_EQ(Hand(within + "Relay-Config: 1\r\n").mStatus, 200);
}

/** Guards against leaves that get no workspace, or another one, from a root;
 * and against roots that charge or authenticate again. */
TEST_F(root_test, ARootNamesTheWorkspaceThatItsReceiverFound)
{
  std::vector<http_message> received;
  mLeaves.front()->mOnRequest = [&](auto& aConnection, const auto& aRequest) {
    received.push_back(aRequest);
    aConnection.Write(OkAnswer(aRequest, "sig1", std::string(16, 'a')));
  };
  mSettings.mHeaderNames.mWorkspace = "X-Workspace";
  mRootSettings.mHeaderNames.mWorkspace = "X-Workspace";
  mStore.mContent.mRoutes.front().mPublic = false;
  mStore.mContent.mWorkspaces = { { "acme", { "k" }, {}, {}, 0, 0, {} } };
  mRootStore.mContent = mStore.mContent;
  StartBoth();
  const std::string forged = "X-Workspace: other\r\nX-Workspace : other\r\n"
                             "Relay-Workspace: other\r\n";
  EXPECT_EQ(SendRequest("/all/x", "r1", forged).mStatus, 401);
  EXPECT_EQ(
    SendRequest("/all/x", "r2", forged + "Authorization: Bearer k\r\n").mStatus,
    200);
  EXPECT_EQ(Relayed(), 1);
  const std::string fields =
    "Relay-Answer-Within: 50000\r\nRelay-Config: 1\r\n";
  EXPECT_EQ(Hand(fields + "Relay-Workspace: acme\r\nX-Workspace: other\r\n"
                          "Authorization: Bearer k\r\n")
              .mStatus,
            200);
  ASSERT_EQ(received.size(), 2U);
  for (const http_message& request : received) {
    std::vector<std::string> names;
    for (const http_field& field : request.mFields) {
      if (field.mName.find("orkspace") != std::string::npos) {
        names.push_back(field.mName + "=" + field.mValue);
      }
    }
    EXPECT_EQ(names, std::vector<std::string>{ "X-Workspace=acme" });
    EXPECT_EQ(request.Find("Authorization"), nullptr);
  }
  // No workspace, or one that the configuration does not have.
  EXPECT_EQ(*Hand(fields).Find("Relay-Refused"), "no workspace");
  EXPECT_EQ(*Hand(fields + "Relay-Workspace: other\r\n").Find("Relay-Refused"),
            "no workspace");
  EXPECT_EQ(*Hand(fields + "Authorization: Bearer k\r\n").Find("Relay-Refused"),
            "no workspace");
  EXPECT_EQ(received.size(), 2U);
}

/** Guards against a root that spends attempts which its receiver has kept for
 * another execution: the leaves then run the query more often than its route
 * allows. */
TEST_F(root_test, ARootMakesNoMoreAttemptsThanItWasGranted)
{
  int sent = 0;
  const auto count = [&](auto& /*aConnection*/, const auto& /*aRequest*/) {
    ++sent;
  };
  mLeaves.front()->mOnRequest = count;
  AddLeaf("s1", count);
  AddLeaf("s1", count);
  mRootStore.mLeaves = mStore.mLeaves;
  mRootStore.mContent = mStore.mContent;
  StartBoth();
  http_channel channel(mLoop, mRootSettings.mRelayAddress);
  std::string asked;
  channel.Call(
    "GET /all/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n"
    "Relay-Config: 1\r\nRelay-Answer-Within: 150000\r\n"
    "Relay-Attempts: 1\r\nRelay-Attempts-Reserved: 1\r\n\r\n",
    seconds(3),
    [](const std::optional<http_message>& /*aAnswer*/) {},
    [&](const http_message& aInterim) {
      const std::string* attempts = aInterim.Find("Relay-Attempts");
      asked = attempts == nullptr ? "" : *attempts;
    });
  RunFor(milliseconds(300));
  EXPECT_EQ(sent, 1);
  EXPECT_EQ(asked, "1");
  const std::string grant = "POST / HTTP/1.1\r\nRelay-Grant: q\r\n"
                            "Relay-Attempts: 1\r\nContent-Length: 0\r\n\r\n";
  channel.SendMore(grant);
  RunFor(milliseconds(300));
  EXPECT_EQ(sent, 2);
  channel.SendMore(grant); // Another one, which it must not use.
  RunFor(milliseconds(300));
  EXPECT_EQ(sent, 2);
}

/** A shard whose retry was not granted held the answer back until the deadline.
 */
TEST_F(root_test, AnExecutionEndsIfItsRetriesAreNotGranted)
{
  mLeaves.front()->mOnRequest =
    [](auto& aConnection, const auto& /*aRequest*/) { aConnection.Reset(); };
  StartBoth();
  http_channel channel(mLoop, mRootSettings.mRelayAddress);
  int status = 0;
  channel.Call(
    "GET /all/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n"
    "Relay-Config: 1\r\nRelay-Answer-Within: 150000\r\n"
    "Relay-Attempts: 1\r\nRelay-Attempts-Reserved: 1\r\n\r\n",
    seconds(3),
    [&](const std::optional<http_message>& aAnswer) {
      status = aAnswer ? aAnswer->mStatus : -1;
    },
    [&](const http_message& aInterim) {
      if (aInterim.Find("Relay-Attempts") != nullptr) {
        channel.SendMore(
          "POST / HTTP/1.1\r\nRelay-Grant: q\r\nRelay-Attempts: 0"
          "\r\nContent-Length: 0\r\n\r\n");
      }
    });
  RunFor(milliseconds(200));
  EXPECT_EQ(status, 502);
}

/** A grant that arrived behind the answer was taken for a request. */
TEST_F(root_test, AGrantBehindTheAnswerIsIgnored)
{
  StartBoth();
  http_channel channel(mLoop, mRootSettings.mRelayAddress);
  const std::string grant = "POST / HTTP/1.1\r\nRelay-Grant: q\r\n"
                            "Relay-Attempts: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string query = "GET /all/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\n"
                            "Relay-Config: 1\r\nRelay-Attempts: 1\r\n"
                            "Relay-Answer-Within: 50000\r\n\r\n";
  for (const std::string& text : { query, grant + query, grant + query }) {
    int status = 0;
    channel.Call(
      text, seconds(1), [&](const std::optional<http_message>& aAnswer) {
        status = aAnswer ? aAnswer->mStatus : -1;
      });
    RunFor(milliseconds(150));
    EXPECT_EQ(status, 200);
  }
}

/** Queries of one workspace took all room of a root, so that those of the
 * others were refused. */
TEST_F(root_test, OneWorkspaceDoesNotTakeAllRoomOfARoot)
{
  for (const auto& leaf : mLeaves) {
    leaf->mOnRequest = [](auto& /*aConnection*/, const auto& /*aRequest*/) {};
  }
  mStore.mContent.mRoutes.front().mPublic = false;
  mStore.mContent.mWorkspaces = { { "acme", { "k" }, {}, {}, 0, 0, {} },
                                  { "bolt", { "l" }, {}, {}, 0, 0, {} } };
  mRootStore.mContent = mStore.mContent;
  StartBoth();
  std::vector<std::unique_ptr<http_channel>> channels;
  std::map<std::string, int> accepted;
  const auto hand = [&](const std::string& aWorkspace) {
    channels.push_back(
      std::make_unique<http_channel>(mLoop, mRootSettings.mRelayAddress));
    channels.back()->Call(
      "GET /all/x HTTP/1.1\r\nHost: h\r\nX-Id: q\r\nRelay-Config: 1\r\n"
      "Relay-Answer-Within: 900000\r\nRelay-Workspace: " +
        aWorkspace + "\r\n\r\n",
      seconds(3),
      [](const std::optional<http_message>& /*aAnswer*/) {},
      [&accepted, aWorkspace](const http_message& /*aInterim*/) {
        ++accepted[aWorkspace];
      });
  };
  for (int query = 0; query < 30; ++query) {
    hand("acme");
  }
  RunFor(milliseconds(200));
  for (int query = 0; query < 3; ++query) {
    hand("bolt");
  }
  RunFor(milliseconds(200));
  EXPECT_EQ(accepted["acme"], 16);
  EXPECT_EQ(accepted["bolt"], 3);
  channels.clear(); // The callers leave.
  RunFor(milliseconds(100));
  accepted.clear();
  hand("acme");
  RunFor(milliseconds(100));
  EXPECT_EQ(accepted["acme"], 1);
}

/** A query is executed with the configuration of the instance that received it,
 * which may not have the newest one yet. */
TEST_F(root_test, AQueryIsExecutedWithTheConfigurationOfItsReceiver)
{
  StartBoth();
  auto changed = mRootStore.mContent;
  changed.mVersion = 2;
  changed.mRoutes.front().mShards = { "s1" };
  mStore.mContent = mRootStore.mContent = changed;
  fake_store& watched = mStore.mConfigWatch ? mStore : mRootStore;
  ASSERT_TRUE(watched.mConfigWatch);
  watched.PublishConfig(changed);
  RunFor(milliseconds(1'000));
  const std::string within = "Relay-Answer-Within: 50000\r\n";
  EXPECT_EQ(*Hand(within + "Relay-Config: 1\r\n").Find("X-Sigs"), "sig1, sig2");
  EXPECT_EQ(*Hand(within + "Relay-Config: 2\r\n").Find("X-Sigs"), "sig1");
}

/** Guards against callers whose connection ends without an answer: the instance
 * exits while a root executes their query (LOST). It may have run. */
TEST_F(relay_test, AQueryAtARootIsAnsweredBeforeTheInstanceExits)
{
  fake_leaf& root = AddRoot(Answering(kConfirmation));
  loop_timer unsent(mLoop, [&] { mServer.AnswerAtStop(stop_answers::Unsent); });
  loop_timer all(mLoop, [&] { mServer.AnswerAtStop(stop_answers::All); });
  unsent.Start(milliseconds(50));
  all.Start(milliseconds(100));
  const model::instant start = event_loop::Now();
  EXPECT_EQ(SendRequest("/all/x", "r").mStatus, 502);
  EXPECT_GT(event_loop::Now() - start, milliseconds(90));
  EXPECT_FALSE(mFallback);
  RunFor(milliseconds(10));
  ASSERT_FALSE(root.mConnections.empty());
  EXPECT_TRUE(root.mConnections.front()->Ended()); // Cancels the query.
}

} // namespace
} // namespace monsooncroft::gateway
