/**
 * @file deployment.cpp
 * Starting and driving a small deployment.
 */
#include "process/deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace monsooncroft::process_test {

namespace {

using nlohmann::json;
using test_support::http_probe;
using test_support::process;

constexpr int kPlatformPort = 0;
constexpr int kControlPort = 1;
constexpr int kCallerPort = 10;
constexpr int kPeerPort = 30;
constexpr int kLeafPort = 50;
constexpr int kShards = 3;
constexpr int kDataCentres = 3;
constexpr std::chrono::seconds kLongest{ 20 };
constexpr std::chrono::milliseconds kPoll{ 20 };

std::string
DataCentre(int aIndex)
{
  return "dc" + std::to_string(aIndex % kDataCentres + 1);
}

json
Contract(const char* aKind,
         const char* aUrgency,
         int aDeadlineMs,
         double aLeastCoverage,
         bool aIdempotent,
         const char* aMerge)
{
  return { { "kind", aKind },
           { "urgency", aUrgency },
           { "deadline_ms", aDeadlineMs },
           { "least_coverage", aLeastCoverage },
           { "idempotent", aIdempotent },
           { "merge", aMerge } };
}

} // namespace

deployment::deployment(deployment_options aOptions)
  : mOptions(std::move(aOptions))
  , mEntries(mOptions.mInstances)
  , mLives(mOptions.mInstances, 0)
{
}

std::string
deployment::Address(int aOffset) const
{
  return "127.0.0.1:" + std::to_string(mOptions.mPortBase + aOffset);
}

model::endpoint
deployment::Endpoint(int aOffset) const
{
  return { "127.0.0.1",
           static_cast<std::uint16_t>(mOptions.mPortBase + aOffset) };
}

std::string
deployment::LeafName(int aIndex)
{
  return "leaf-" + std::to_string(aIndex);
}

std::string
deployment::EntryId(int aIndex) const
{
  return "entry-" + std::to_string(aIndex) + "-" +
         std::to_string(mLives[aIndex]);
}

model::endpoint
deployment::Caller(int aIndex) const
{
  return Endpoint(kCallerPort + aIndex);
}

/** Leaf i holds shard i % kShards; replicas are in other data centres. */
json
deployment::Leaves() const
{
  json leaves = json::array();
  for (int i = 0; i < kShards * mOptions.mReplicas; ++i) {
    const int replica = i / kShards;
    leaves.push_back({ { "name", LeafName(i) },
                       { "address", Address(kLeafPort + i) },
                       { "data_centre", DataCentre(i % kShards + replica) },
                       { "slots", 2 },
                       { "connection_limit", 25 } });
  }
  return leaves;
}

json
deployment::Shards() const
{
  json shards = json::array();
  for (int shard = 0; shard < kShards; ++shard) {
    const std::string number = std::to_string(shard);
    json replicas = json::array();
    for (int replica = 0; replica < mOptions.mReplicas; ++replica) {
      replicas.push_back(LeafName(replica * kShards + shard));
    }
    shards.push_back({ { "name", "s" + number },
                       { "covers", { "q" + number + "a", "q" + number + "b" } },
                       { "leaves", replicas } });
  }
  return shards;
}

json
deployment::Manifest() const
{
  json service = { { "name", "routes" },
                   { "shards", Shards() },
                   { "leaves", Leaves() } };
  service["contracts"] = {
    Contract("find", "urgent", 400, 0.3, true, "concat"),
    Contract("browse", "browsing", 1500, 0.9, true, "concat"),
    Contract("book", "normal", 1500, 1.0, false, "sum")
  };
  return { { "schema", 1 },
           { "tenants",
             { { { "name", "guild" },
                 { "weight", 1 },
                 { "rate_per_s", 0 },
                 { "burst", 0 } } } },
           { "services", { service } } };
}

json
deployment::BackendConfig() const
{
  json leaves = Leaves();
  for (std::size_t i = 0; i < leaves.size(); ++i) {
    json& leaf = leaves[i];
    leaf.erase("data_centre");
    leaf["service"] = "routes";
    leaf["connect_ms"] = 1;
    leaf["queue_limit"] = 16;
    leaf["shards"] = { { { "name", "s" + std::to_string(i % kShards) },
                         { "versions", { 1 } } } };
    leaf["service_time"] = { { "median_ms", mOptions.mServiceMs },
                             { "sigma", 0.1 },
                             { "tail_fraction", 0 },
                             { "tail_factor", 1 } };
  }
  return { { "leaves", leaves }, { "seed", 1 } };
}

json
deployment::Instances() const
{
  json rows = json::array();
  for (int i = 0; i < mOptions.mInstances; ++i) {
    rows.push_back({ { "id", EntryId(i) },
                     { "role", "entry" },
                     { "address", Address(kPeerPort + i) },
                     { "caller_address", Address(kCallerPort + i) },
                     { "data_centre", DataCentre(i) },
                     { "state", "live" } });
  }
  for (const json& leaf : Leaves()) {
    rows.push_back({ { "id", leaf["name"] },
                     { "role", "leaf" },
                     { "address", leaf["address"] },
                     { "caller_address", leaf["address"] },
                     { "data_centre", leaf["data_centre"] },
                     { "state", "live" } });
  }
  return rows;
}

void
deployment::StartPlatform()
{
  mFiles.push_back(
    std::make_unique<test_support::temporary_file>(Instances().dump()));
  mPlatform =
    std::make_unique<process>(process::Start(MC_BIN_DIR "/standin_platform",
                                             { "--listen",
                                               Address(kPlatformPort),
                                               "--instances",
                                               mFiles.back()->Path() }));
  ASSERT_TRUE(test_support::WaitUntilUp(Endpoint(kPlatformPort)));
}

void
deployment::StartBackend()
{
  mFiles.push_back(
    std::make_unique<test_support::temporary_file>(BackendConfig().dump()));
  mBackend = std::make_unique<process>(process::Start(
    MC_BIN_DIR "/standin_backend",
    { "--config", mFiles.back()->Path(), "--control", Address(kControlPort) }));
  ASSERT_TRUE(test_support::WaitUntilUp(Endpoint(kControlPort)));
}

void
deployment::StartEntry(int aIndex)
{
  if (mEntries[aIndex]) {
    ++mLives[aIndex];
  }
  json settings = { { "instance",
                      { { "id", EntryId(aIndex) },
                        { "data_centre", DataCentre(aIndex) } } },
                    { "listen",
                      { { "caller", Address(kCallerPort + aIndex) },
                        { "peer", Address(kPeerPort + aIndex) } } },
                    { "platform", { { "addresses", { Address(0) } } } },
                    { "ownership", { { "replicas", mOptions.mOwners } } },
                    { "shutdown", { { "drain_ms", 500 } } },
                    { "log", { { "level", "warn" } } } };
  settings.merge_patch(mOptions.mSettings);
  mFiles.push_back(
    std::make_unique<test_support::temporary_file>(settings.dump()));
  mEntries[aIndex] = std::make_unique<process>(process::Start(
    MC_BIN_DIR "/monsooncroftd", { mFiles.back()->Path() }, mOptions.mOutput));
}

void
deployment::Start()
{
  StartPlatform();
  StartBackend();
  for (int i = 0; i < mOptions.mInstances; ++i) {
    StartEntry(i);
  }
  ApplyManifest(Manifest());
  for (int i = 0; i < mOptions.mInstances; ++i) {
    ASSERT_TRUE(WaitReady(i));
  }
}

void
deployment::ApplyManifest(const json& aManifest)
{
  const test_support::temporary_file file(aManifest.dump());
  process apply = process::Start(
    MC_BIN_DIR "/monsooncroftctl",
    { "--platform", Address(kPlatformPort), "apply", file.Path(), "--wait" },
    "/dev/null");
  const auto end = apply.Wait(kLongest);
  ASSERT_TRUE(end.has_value());
  ASSERT_EQ(*end, (test_support::process_end{ 0, 0 }));
}

json
deployment::Query(const std::string& aKind, const std::string& aId)
{
  static std::atomic<int> sNumber{ 0 };
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  json query = { { "service", "routes" },
                 { "kind", aKind },
                 { "tenant", "guild" },
                 { "issued_at_ms", now.count() },
                 { "body", { { "text", "x" } } } };
  query["request_id"] = aId.empty() ? "r" + std::to_string(now.count()) + "-" +
                                        std::to_string(sNumber.fetch_add(1))
                                    : aId;
  if (aKind == "book") {
    query["body"]["sum"] = true;
  }
  return query;
}

test_support::probe_reply
deployment::Ask(int aEntry,
                const json& aQuery,
                std::chrono::milliseconds aTimeout)
{
  http_probe probe(Caller(aEntry));
  return probe.Call("POST", "/v1/query", aQuery, aTimeout);
}

json
deployment::Status(int aEntry)
{
  return http_probe(Caller(aEntry)).Get("/v1/status").mBody;
}

void
deployment::Leaf(const json& aControl)
{
  const auto reply =
    http_probe(Endpoint(kControlPort)).Post("/control/leaf", aControl);
  ASSERT_TRUE(reply.Ok()) << reply.mText;
}

void
deployment::Fault(const json& aFault)
{
  const auto reply =
    http_probe(Endpoint(kPlatformPort)).Post("/control/fault", aFault);
  ASSERT_TRUE(reply.Ok()) << reply.mText;
}

void
deployment::List(const json& aInstances)
{
  const auto reply =
    http_probe(Endpoint(kPlatformPort))
      .Post("/control/instances", { { "instances", aInstances } });
  ASSERT_TRUE(reply.Ok()) << reply.mText;
}

json
deployment::Executions(const std::string& aRequest)
{
  return http_probe(Endpoint(kControlPort))
    .Post("/control/executions", { { "request_id", aRequest } })
    .mBody;
}

json
deployment::LeafStats(const std::string& aLeaf)
{
  return http_probe(Endpoint(kControlPort))
    .Get("/control/stats")
    .mBody["leaves"][aLeaf];
}

bool
deployment::WaitReady(int aEntry)
{
  return Eventually(
    [&] { return http_probe(Caller(aEntry)).Get("/readyz").Ok(); });
}

bool
deployment::Eventually(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kLongest;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

} // namespace monsooncroft::process_test
