/**
 * @file decode_workspaces_test.cpp
 * Tests decoding of workspaces, and of what malformed entries leave usable.
 */
#include "decode.h"
#include "decode_workspaces.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsooncroft::adapter {
namespace {

using content = serving::routing_config::content;

std::string
Text(const std::string& aTenants, const std::string& aRouteFields)
{
  return R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","prefix":"/","timeout_ms":1,"service":"s")" +
         aRouteFields + "}]" + aTenants + "}";
}

content
DecodeText(const std::string& aText)
{
  const auto decoded = DecodeConfig(aText);
  const auto* out = std::get_if<content>(&decoded);
  EXPECT_NE(out, nullptr) << aText;
  return out == nullptr ? content{} : *out;
}

content
Decode(const std::string& aTenants, const std::string& aRouteFields = "")
{
  return DecodeText(Text(aTenants, aRouteFields));
}

content
DecodeTenants(const std::string& aEntries)
{
  return Decode(R"(,"tenants":[)" + aEntries + "]");
}

/** Keys that a decoded configuration accepts, of a list of candidates. */
std::vector<std::string>
AcceptedKeys(const content& aContent, const std::vector<std::string>& aKeys)
{
  const auto config = serving::routing_config::Create(aContent);
  std::vector<std::string> out;
  std::copy_if(aKeys.begin(),
               aKeys.end(),
               std::back_inserter(out),
               [&](const std::string& aKey) {
                 return config->FindWorkspace(aKey) != nullptr;
               });
  return out;
}

TEST(DecodeWorkspaces, ReadsAllFields)
{
  const content decoded = DecodeTenants(
    R"({"name":"acme","api_keys":["k1","k2"],"priority":0,"rate_per_s":2.5,"burst":10,"homes":["r1"]},
       {"name":"bare","priority":null,"api_keys":[]})");
  ASSERT_EQ(decoded.mWorkspaces.size(), 2U);
  const serving::workspace& acme = decoded.mWorkspaces[0];
  EXPECT_EQ(acme.mName, "acme");
  EXPECT_EQ(acme.mApiKeys, (std::vector<std::string>{ "k1", "k2" }));
  EXPECT_EQ(acme.mPriority, 0);
  EXPECT_DOUBLE_EQ(acme.mRatePerSecond, 2.5);
  EXPECT_DOUBLE_EQ(acme.mBurst, 10);
  EXPECT_EQ(acme.mHomes, std::vector<std::string>{ "r1" });
  EXPECT_FALSE(decoded.mWorkspaces[1].mPriority);
  EXPECT_TRUE(decoded.mProblems.empty());
}

/** Guards against routes that are open by default although the configuration
 * has workspaces, or closed although it has none. */
TEST(DecodeWorkspaces, RoutesArePublicByDefaultOnlyWithoutWorkspaces)
{
  const std::string tenants = R"(,"tenants":[{"name":"a"}])";
  const auto isPublic = [](const content& aContent) {
    return aContent.mRoutes[0].mPublic;
  };
  EXPECT_TRUE(isPublic(Decode("")));
  EXPECT_FALSE(isPublic(Decode(tenants)));
  EXPECT_TRUE(isPublic(Decode(tenants, R"(,"public":true)")));
  EXPECT_FALSE(isPublic(Decode(tenants, R"(,"public":false)")));
  const content wrong = Decode(tenants, R"(,"public":"yes")");
  EXPECT_FALSE(isPublic(wrong));
  ASSERT_EQ(wrong.mProblems.size(), 1U);
  EXPECT_EQ(wrong.mProblems[0].mWhere, "routes[0] r");

  EXPECT_FALSE(serving::routing_config::Create(Decode("", R"(,"public":false)"))
                 ->UsesWorkspaces());
  EXPECT_FALSE(serving::routing_config::Create(Decode(R"(,"tenants":null)"))
                 ->UsesWorkspaces());
  EXPECT_FALSE(
    serving::routing_config::Create(DecodeTenants(""))->UsesWorkspaces());
}

const std::vector<std::string> kMalformedEntries{
  "7",
  R"("bad-key")",
  "null",
  R"(["bad-key"])",
  R"({"api_keys":["bad-key"]})",
  R"({"name":"","api_keys":["bad-key"]})",
  R"({"name":7,"api_keys":["bad-key"]})",
  R"({"name":"x\r\nX-Id: 1","api_keys":["bad-key"]})",
  R"({"name":" x","api_keys":["bad-key"]})",
  R"({"name":"x","api_keys":"bad-key"})",
  R"({"name":"x","api_keys":{"bad-key":1}})",
  R"({"name":"x","api_keys":["bad-key",7]})",
  R"({"name":"x","api_keys":["bad-key",""]})",
  R"({"name":"x","api_keys":["bad-key"],"priority":"high"})",
  R"({"name":"x","api_keys":["bad-key"],"priority":1.5})",
  R"({"name":"x","api_keys":["bad-key"],"priority":4294967296})",
  R"({"name":"x","api_keys":["bad-key"],"priority":18446744073709551615})",
  R"({"name":"x","api_keys":["bad-key"],"rate_per_s":"2"})",
  R"({"name":"x","api_keys":["bad-key"],"rate_per_s":-1})",
  R"({"name":"x","api_keys":["bad-key"],"burst":[]})",
  R"({"name":"x","api_keys":["bad-key"],"homes":"eu"})"
};

/** One malformed entry made the whole configuration unreadable, or its keys
 * were accepted; or its problem quoted a key. */
TEST(DecodeWorkspaces, AMalformedEntryHidesNoOtherAndItsKeysAreRefused)
{
  const std::string sound = R"({"name":"sound","api_keys":["good"]})";
  for (const std::string& malformed : kMalformedEntries) {
    const content decoded = DecodeTenants(malformed + "," + sound);
    EXPECT_EQ(AcceptedKeys(decoded, { "bad-key", "good" }),
              std::vector<std::string>{ "good" })
      << malformed;
    ASSERT_EQ(decoded.mProblems.size(), 1U) << malformed;
    EXPECT_EQ(decoded.mProblems[0].mWhere.find("tenants[0]"), 0U) << malformed;
    EXPECT_EQ(decoded.mProblems[0].mWhat.find("bad-key"), std::string::npos)
      << malformed;
    EXPECT_TRUE(serving::routing_config::Create(decoded)->UsesWorkspaces())
      << malformed;
  }
}

/** Guards against an open service where no entry is usable. */
TEST(DecodeWorkspaces, KeysAreRequiredAlsoIfNoEntryIsUsable)
{
  for (const char* tenants : { R"(,"tenants":[{}])",
                               R"(,"tenants":{"a":1})",
                               R"(,"tenants":"none")" }) {
    const content decoded = Decode(tenants);
    EXPECT_TRUE(serving::routing_config::Create(decoded)->UsesWorkspaces())
      << tenants;
    EXPECT_FALSE(decoded.mRoutes[0].mPublic) << tenants;
    EXPECT_EQ(decoded.mProblems.size(), 1U) << tenants;
  }
}

TEST(DecodeWorkspaces, ANameOfTwoEntriesMakesBothUnusable)
{
  const content decoded = DecodeTenants(
    R"({"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k2"]},{"name":"a","api_keys":["k3"]})");
  EXPECT_EQ(AcceptedKeys(decoded, { "k1", "k2", "k3" }),
            std::vector<std::string>{ "k2" });
  ASSERT_EQ(decoded.mProblems.size(), 2U);
  EXPECT_EQ(decoded.mProblems[0].mWhere, "tenants[0] a");
  EXPECT_EQ(decoded.mProblems[1].mWhere, "tenants[2] a");
}

/** Guards against requests that run under the name of another workspace. */
TEST(DecodeWorkspaces, AKeyOfTwoEntriesIsAcceptedForNeither)
{
  const content decoded = DecodeTenants(
    R"({"name":"a","api_keys":["k1","both"]},{"name":"b","api_keys":["both","k2","k2"]},
       {"name":"c","api_keys":["odd"]},{"name":"d","api_keys":["odd"],"burst":"x"})");
  EXPECT_EQ(AcceptedKeys(decoded, { "k1", "both", "k2", "odd" }),
            (std::vector<std::string>{ "k1", "k2" }));
  EXPECT_EQ(decoded.mProblems.size(), 4U);
}

/** Keys in clear text reached all instances that pulled the configuration from
 * a peer. */
TEST(HideKeys, AnotherInstanceGetsTheSameWorkspacesWithoutKeys)
{
  const std::string sound =
    R"({"name":"sound","api_keys":["good","more"],"priority":3,"burst":2.5})";
  std::vector<std::string> lists{
    sound +
      R"(,{"name":"a","api_keys":["bad-key"]},{"name":"b","api_keys":["bad-key"]})",
    sound + R"(,{"name":"a","api_keys":["bad-key"]},{"name":"a"})",
    sound + R"(,{"name":"a"},{"name":"b","api_keys":null})"
  };
  for (const std::string& malformed : kMalformedEntries) {
    lists.push_back(malformed + "," + sound);
  }
  for (const std::string& list : lists) {
    const std::string text = Text(R"(,"tenants":[)" + list + "]", "");
    const std::string hidden = HideKeys(text);
    EXPECT_EQ(hidden.find("good"), std::string::npos) << hidden;
    EXPECT_EQ(hidden.find("bad-key"), std::string::npos) << hidden;
    EXPECT_EQ(HideKeys(hidden), hidden);
    const content here = DecodeText(text);
    const content there = DecodeText(hidden);
    const std::vector<std::string> keys{ "good", "more", "bad-key" };
    EXPECT_EQ(AcceptedKeys(there, keys), AcceptedKeys(here, keys)) << list;
    EXPECT_EQ(there.mProblems, here.mProblems) << list;
    EXPECT_EQ(there.mWorkspaces.size(), here.mWorkspaces.size()) << list;
    EXPECT_EQ(there.mRoutes, here.mRoutes);
  }
  for (const char* tenants : { "",
                               R"(,"tenants":null)",
                               R"(,"tenants":[])",
                               R"(,"tenants":{"bad-key":1})",
                               R"(,"tenants":"bad-key")" }) {
    const std::string text = Text(tenants, "");
    const std::string hidden = HideKeys(text);
    EXPECT_EQ(hidden.find("bad-key"), std::string::npos) << hidden;
    EXPECT_EQ(DecodeText(hidden), DecodeText(text)) << tenants;
  }
}

/** The parser's message quotes the text at which it failed. */
TEST(DecodeWorkspaces, AMessageAboutMalformedTextDoesNotQuoteIt)
{
  const auto decoded = DecodeConfig(
    R"({"version":1,"tenants":[{"name":"a","api_keys":["secret-key)");
  const auto* error = std::get_if<std::string>(&decoded);
  ASSERT_NE(error, nullptr);
  EXPECT_EQ(error->find("secret"), std::string::npos) << *error;
}

} // namespace
} // namespace monsooncroft::adapter
