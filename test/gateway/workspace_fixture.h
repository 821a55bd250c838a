/**
 * @file workspace_fixture.h
 * An entry instance whose configuration has workspaces, with its log.
 */
#ifndef MONSOONCROFT_TEST_GATEWAY_WORKSPACE_FIXTURE_H
#define MONSOONCROFT_TEST_GATEWAY_WORKSPACE_FIXTURE_H

#include "gateway/workspace_admission_base.h"
#include "instance_fixture.h"

#include <unistd.h>

#include <array>

namespace monsooncroft::gateway {

/** Quotas that the test decides on. */
class fake_admission : public workspace_admission
{
public:
  void Admit(const serving::workspace& aWorkspace,
             model::instant /*aNow*/,
             callback aDone) override
  {
    mCharged.push_back(aWorkspace.mName);
    if (mHolds) {
      mHeld.push_back(std::move(aDone));
    } else {
      aDone(mDecision);
    }
  }
  void Decide(const admission_decision& aDecision)
  {
    for (const callback& done : std::exchange(mHeld, {})) {
      done(aDecision);
    }
  }

  admission_decision mDecision;
  bool mHolds = false;
  std::vector<std::string> mCharged; ///< Names of workspaces.
  std::vector<callback> mHeld;
};

/** One leaf behind a route that needs a key, and behind a public one. */
class workspace_fixture : public instance_fixture
{
protected:
  workspace_fixture()
  {
    std::array<int, 2> ends{};
    EXPECT_EQ(::pipe2(ends.data(), O_NONBLOCK), 0);
    mLogEnd = ends[0];
    mSink = std::make_shared<ops::bounded_sink>(ends[1], 1U << 20U);
    mLog = ops::log("test", ops::log_level::Info, mSink);
    mSettings.mHeaderNames.mWorkspace = "X-Workspace";
    AddLeaf("plain", [this](auto& aConnection, const auto& aRequest) {
      mReceived.push_back(aRequest);
      aConnection.Write(OkAnswer(aRequest, "s", "ok"));
    });
    AddSingleServiceRoute(serving::repeatability::RunOnce);
    serving::route open = mStore.mContent.mRoutes.back();
    open.mName = "open";
    open.mPrefix = "/open/";
    mStore.mContent.mRoutes.back().mPublic = false;
    mStore.mContent.mRoutes.push_back(open);
    mStore.mContent.mWorkspaces = {
      { "acme", { "key-1", "key-2" }, {}, 1, 0, 0, {} },
      { "bolt", { "key-3" }, {}, {}, 5, 10, {} }
    };
  }

  ~workspace_fixture() override { ::close(mLogEnd); }

  static std::string Key(const std::string& aKey)
  {
    return "Authorization: Bearer " + aKey + "\r\n";
  }
  http_message Send(const std::string& aKey,
                    const std::string& aTarget = "/one/x")
  {
    return SendRequest(aTarget, "r" + std::to_string(++mCount), Key(aKey));
  }
  /** Changes the configuration in the store, without a notice. */
  void Change(const std::function<void(serving::routing_config::content&)>& aDo)
  {
    ++mStore.mContent.mVersion;
    mStore.mConfigRevision = ++mStore.mRevision;
    aDo(mStore.mContent);
  }
  /** Sends a request and runs the loop until the function returns true. */
  void SendInBackground(const std::string& aFields, int aRemainingMs)
  {
    mCaller = std::make_unique<http_channel>(mLoop, mSettings.mCallerAddress);
    mAnswer.reset();
    mCaller->Call("GET /one/x HTTP/1.1\r\nHost: h\r\nX-Id: b" +
                    std::to_string(++mCount) + "\r\nX-Left: " +
                    std::to_string(aRemainingMs) + "\r\n" + aFields + "\r\n",
                  std::chrono::seconds(3),
                  [this](std::optional<http_message> aAnswer) {
                    mAnswer = std::move(aAnswer);
                  });
  }
  /** Everything that has been logged since the last call. */
  std::string ReadLog()
  {
    mSink->Drain();
    std::string text;
    std::array<char, 65'536> buffer{};
    for (ssize_t count = 1; count > 0;) {
      count = ::read(mLogEnd, buffer.data(), buffer.size());
      text.append(buffer.data(),
                  static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    }
    return text;
  }

  int mLogEnd = -1;
  int mCount = 0;
  std::vector<http_message> mReceived; ///< Requests at the leaf.
  std::optional<http_message> mAnswer; ///< To SendInBackground().
};

} // namespace monsooncroft::gateway

#endif
