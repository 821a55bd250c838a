/**
 * @file workspace_order_test.cpp
 * The order in which requests of workspaces that wait reach a leaf.
 */
#include "workspace_fixture.h"

namespace monsooncroft::gateway {
namespace {

using std::chrono::milliseconds;

/** A leaf that accepts one connection and takes 20 ms for each request. */
class workspace_order_test : public workspace_fixture
{
protected:
  workspace_order_test()
  {
    mStore.mContent.mServices["plain"] = { 1 };
    mLeaves.front()->mOnRequest = [this](auto& aConnection,
                                         const auto& aRequest) {
      mOrder += *aRequest.Find("X-Id") + " ";
      mTimers.push_back(std::make_unique<loop_timer>(
        mLoop, [&aConnection, answer = OkAnswer(aRequest, "s", "x")] {
          aConnection.Write(answer);
        }));
      mTimers.back()->Start(milliseconds(20));
    };
  }
  /** Sends requests with these ids and keys at once. */
  void SendAll(
    const std::vector<std::pair<std::string, std::string>>& aRequests)
  {
    for (const auto& [id, key] : aRequests) {
      mCallers.push_back(
        std::make_unique<http_channel>(mLoop, mSettings.mCallerAddress));
      mCallers.back()->Call("GET /one/x HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
                              "\r\nX-Left: 900\r\n" + Key(key) + "\r\n",
                            std::chrono::seconds(2),
                            [](const std::optional<http_message>&) {});
      RunFor(milliseconds(1)); // They arrive in this order.
    }
    RunFor(milliseconds(400));
  }

  std::string mOrder; ///< Ids of requests at the leaf.
  std::vector<std::unique_ptr<loop_timer>> mTimers;
  std::vector<std::unique_ptr<http_channel>> mCallers;
};

/** Guards against a route's priority that goes before its workspace's, and
 * against a workspace whose many requests go before those of others. */
TEST_F(workspace_order_test, RanksGoFirstAndWorkspacesTakeTurns)
{
  mStore.mContent.mRoutes.front().mPriority = 2;
  mStore.mContent.mWorkspaces = { { "urgent", { "u" }, {}, 1, 0, 0, {} },
                                  { "a", { "a" }, {}, {}, 0, 0, {} },
                                  { "b", { "b" }, {}, {}, 0, 0, {} } };
  Start();
  SendAll({ { "first", "a" },
            { "a1", "a" },
            { "a2", "a" },
            { "a3", "a" },
            { "b1", "b" },
            { "u1", "u" } });
  EXPECT_EQ(mOrder, "first u1 a1 b1 a2 a3 ");
}

TEST_F(workspace_order_test, WithoutWorkspacesTheOrderIsThatOfArrival)
{
  mStore.mContent.mWorkspaces.clear();
  Start();
  SendAll({ { "first", "a" },
            { "a1", "a" },
            { "a2", "a" },
            { "b1", "b" },
            { "u1", "u" } });
  EXPECT_EQ(mOrder, "first a1 a2 b1 u1 ");
}

} // namespace
} // namespace monsooncroft::gateway
