/**
 * @file workspace_keys_test.cpp
 * Tests the lookup of workspaces by key.
 */
#include "serving/routing_config_base.h"

#include <gtest/gtest.h>

namespace monsooncroft::serving {
namespace {

TEST(WorkspaceKeys, FindsTheWorkspaceOfEachKey)
{
  routing_config::content content;
  content.mWorkspaces.push_back({ "a", { "k1", "k2" }, {}, {}, 0, 0, {} });
  content.mWorkspaces.push_back({ "b", { "k3" }, {}, {}, 0, 0, {} });
  const auto config = routing_config::Create(content);
  ASSERT_NE(config->FindWorkspace("k2"), nullptr);
  EXPECT_EQ(config->FindWorkspace("k1")->mName, "a");
  EXPECT_EQ(config->FindWorkspace("k2")->mName, "a");
  EXPECT_EQ(config->FindWorkspace("k3")->mName, "b");
  EXPECT_EQ(config->FindWorkspace("k"), nullptr);
  EXPECT_EQ(config->FindWorkspace(""), nullptr);
  EXPECT_EQ(config->FindWorkspace("k1 "), nullptr);
  EXPECT_EQ(config->WorkspaceNamed("b"), config->FindWorkspace("k3"));
  EXPECT_EQ(config->WorkspaceNamed("c"), nullptr);
}

/** Keys in a configuration could reach a log or another part of the process. */
TEST(WorkspaceKeys, TheConfigurationKeepsNoKeyInClearText)
{
  routing_config::content content;
  content.mWorkspaces.push_back({ "a", { "k1" }, {}, {}, 0, 0, {} });
  const auto config = routing_config::Create(content);
  ASSERT_EQ(config->Workspaces().size(), 1U);
  EXPECT_TRUE(config->Workspaces()[0].mApiKeys.empty());
}

TEST(WorkspaceKeys, AKeyOfTwoWorkspacesFindsNeither)
{
  const workspace one{ "a", {}, {}, {}, 0, 0, {} };
  const workspace other{ "b", {}, {}, {}, 0, 0, {} };
  const std::string digest = workspace_keys::SharedDigestOf("k");
  workspace_keys keys;
  keys.Add(digest, one);
  keys.Add(digest, one);
  EXPECT_EQ(keys.Find("k"), &one);
  keys.Add(digest, other);
  EXPECT_EQ(keys.Find("k"), nullptr);
}

/** Instances send each other digests in place of keys. */
TEST(WorkspaceKeys, AKeyIsFoundByItsDigestAndADigestIsNoKey)
{
  const std::string digest = workspace_keys::SharedDigestOf("k");
  EXPECT_EQ(digest.size(), 2 * workspace_keys::kDigestBytes);
  routing_config::content content;
  content.mWorkspaces.push_back({ "a", {}, { digest }, {}, 0, 0, {} });
  const auto config = routing_config::Create(content);
  ASSERT_NE(config->FindWorkspace("k"), nullptr);
  EXPECT_EQ(config->FindWorkspace(digest), nullptr);
}

TEST(WorkspaceKeys, DigestsDifferAndAreStable)
{
  EXPECT_EQ(workspace_keys::DigestOf("k"), workspace_keys::DigestOf("k"));
  EXPECT_NE(workspace_keys::DigestOf("k"), workspace_keys::DigestOf("l"));
}

} // namespace
} // namespace monsooncroft::serving
