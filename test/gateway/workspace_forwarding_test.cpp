/**
 * @file workspace_forwarding_test.cpp
 * What leaves learn of a caller's key and workspace.
 */
#include "workspace_fixture.h"

namespace monsooncroft::gateway {
namespace {

class workspace_forwarding_test : public workspace_fixture
{
protected:
  /** Sends a request with a forged workspace; returns what the leaf got. */
  std::string Forward(const std::string& aTarget, const std::string& aFields)
  {
    mReceived.clear();
    EXPECT_EQ(
      SendRequest(aTarget, "r" + std::to_string(++mCount), aFields).mStatus,
      200);
    std::string text;
    for (const http_message& request : mReceived) {
      for (const http_field& field : request.mFields) {
        text += field.mName + "=" + field.mValue + ";";
      }
    }
    return text;
  }

  const std::string mForged = "X-Workspace: other\r\nx-workspace : other\r\n"
                              "X_Workspace: other\r\nRelay-Config: 1\r\n"
                              "Relay-Workspace: other\r\nX-Mine: mine\r\n";
};

/** Guards against keys and forged workspaces at leaves. The parser accepts
 * spaces after a field's name, so that "Authorization :" is another name to it;
 * and servers with CGI names do not tell X_Workspace from X-Workspace. */
TEST_F(workspace_forwarding_test, ALeafGetsTheNameOnly)
{
  Start();
  for (const char* name :
       { "Authorization", "authorization ", "AUTHORIZATION" }) {
    const std::string got =
      Forward("/one/x", mForged + name + ": Bearer key-2\r\n");
    EXPECT_NE(got.find("X-Workspace=acme;"), std::string::npos) << got;
    EXPECT_NE(got.find("X-Mine=mine;"), std::string::npos) << got;
    EXPECT_EQ(got.find("other"), std::string::npos) << got;
    EXPECT_EQ(got.find("key-2"), std::string::npos) << got;
    EXPECT_EQ(got.find("Relay-"), std::string::npos) << got;
  }
}

TEST_F(workspace_forwarding_test, APublicRouteGetsNoWorkspace)
{
  Start();
  const std::string got = Forward("/open/x", mForged + Key("key-2"));
  EXPECT_NE(got.find("X-Mine=mine;"), std::string::npos) << got;
  EXPECT_EQ(got.find("orkspace"), std::string::npos) << got;
  EXPECT_EQ(got.find("key-2"), std::string::npos) << got;
}

TEST_F(workspace_forwarding_test, WithoutWorkspacesAllFieldsAreForwarded)
{
  mStore.mContent.mWorkspaces.clear();
  Start();
  const std::string got = Forward("/one/x", mForged + Key("key-2"));
  for (const char* field : { "X-Workspace=other;",
                             "X_Workspace=other;",
                             "Relay-Config=1;",
                             "Relay-Workspace=other;",
                             "Authorization=Bearer key-2;" }) {
    EXPECT_NE(got.find(field), std::string::npos) << got;
  }
}

/** A key that moves to another workspace takes its requests with it. */
TEST_F(workspace_forwarding_test, ANewConfigurationMovesAKey)
{
  Start();
  EXPECT_NE(Forward("/one/x", Key("key-3")).find("X-Workspace=bolt;"),
            std::string::npos);
  auto changed = mStore.mContent;
  changed.mVersion = 2;
  changed.mWorkspaces[0].mApiKeys = { "key-3" };
  changed.mWorkspaces[1].mApiKeys = {};
  mStore.PublishConfig(changed);
  EXPECT_NE(Forward("/one/x", Key("key-3")).find("X-Workspace=acme;"),
            std::string::npos);
}

} // namespace
} // namespace monsooncroft::gateway
