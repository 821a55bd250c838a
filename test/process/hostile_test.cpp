/**
 * @file hostile_test.cpp
 * Bad input at every listener: a clear refusal, bounded memory, and the
 * process goes on.
 */
#include "process/deployment.h"
#include "process/raw_socket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <unistd.h>

namespace monsooncroft::process_test {
namespace {

using nlohmann::json;

constexpr int kPortBase = 26500;
constexpr int kWorkers = 8;
constexpr std::size_t kMegabyte = 1024UL * 1024;
/** Each worker may hold a few bodies of 1 MB, and the allocator keeps some. */
constexpr std::size_t kGrowthBytes = 96 * kMegabyte;
constexpr int kMutations = 400;
constexpr std::uint32_t kSeed = 20261;

json
RelayMessage()
{
  return { { "request", "r1" },
           { "service", "routes" },
           { "kind", "find" },
           { "tenant", "guild" },
           { "data_centre", "" },
           { "manifest", 1 },
           { "snapshot", 1 },
           { "remaining_us", 100000 },
           { "no_extra", false },
           { "shards",
             json::array(
               { json::array({ "s0", "a1" }), json::array({ "s1", "a2" }) }) },
           { "body", "{}" } };
}

json
RpcMessage(const std::string& aMethod, const std::string& aBody)
{
  static int sNumber = 0;
  return { { "jsonrpc", "2.0" },
           { "id", 1 },
           { "method", aMethod },
           { "params",
             { { "message_id", "m" + std::to_string(++sNumber) },
               { "body", aBody } } } };
}

/** Values of every type, and the borders of numbers. */
std::vector<json>
OddValues()
{
  return { nullptr,
           true,
           -1,
           0.5,
           "",
           "x",
           json::array(),
           json::object(),
           std::int64_t{ -9223372036854775807 },
           std::uint64_t{ 18446744073709551615U },
           1e300,
           json::array({ json::array({ 1 }) }),
           std::string(300, 'n') };
}

class hostile : public testing::Test
{
protected:
  void SetUp() override
  {
    deployment_options options;
    options.mPortBase = kPortBase;
    options.mInstances = 2;
    options.mSettings = {
      { "workers", { { "caller", kWorkers }, { "peer", kWorkers } } }
    };
    mDeployment = std::make_unique<deployment>(options);
    mDeployment->Start();
    mCaller = mDeployment->Caller(0);
    const std::string peer = mDeployment->Instances()[0]["address"];
    mPeer = *model::endpoint::Parse(peer);
    ExpectServes();
    mResident = Resident();
  }

  void TearDown() override
  {
    ExpectServes();
    EXPECT_LT(Resident(), mResident + kGrowthBytes);
  }

  std::size_t Resident()
  {
    std::ifstream file("/proc/" + std::to_string(mDeployment->Entry(0).Pid()) +
                       "/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  }

  /** A normal query is answered whole by the attacked instance. */
  void ExpectServes()
  {
    for (const char* kind : { "browse", "book" }) {
      const auto reply = mDeployment->Ask(0, deployment::Query(kind));
      EXPECT_TRUE(reply.Ok()) << reply.mText;
      EXPECT_TRUE(IsComplete(reply)) << reply.mText;
    }
  }

  static bool IsComplete(const test_support::probe_reply& aReply)
  {
    return aReply.mBody.is_object() && aReply.mBody["status"] == "complete";
  }

  /** A 4xx with a reason, or a closed connection. */
  static void ExpectRefused(const std::string& aResponse,
                            const std::string& aWhat)
  {
    if (aResponse.empty()) {
      return;
    }
    const int status = StatusOf(aResponse);
    EXPECT_GE(status, 400) << aWhat << "\n" << aResponse;
    EXPECT_LT(status, 500) << aWhat << "\n" << aResponse;
    EXPECT_NE(aResponse.find("\"reason\""), std::string::npos) << aWhat << "\n"
                                                               << aResponse;
  }

  std::unique_ptr<deployment> mDeployment;
  model::endpoint mCaller;
  model::endpoint mPeer;
  std::size_t mResident = 0;
};

TEST_F(hostile, bad_lengths_are_refused)
{
  const std::string head = "POST /v1/query HTTP/1.1\r\nHost: x\r\n";
  for (const auto& peer : { mCaller, mPeer }) {
    for (const char* length :
         { "99999999", "-1", "99999999999999999999999", "x", "1x", "" }) {
      const std::string field = std::string("Content-Length: ") + length;
      ExpectRefused(Exchange(peer, head + field + "\r\n\r\n{}"), field);
    }
    ExpectRefused(
      Exchange(peer,
               head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"),
      "chunked");
    const std::string both = "Content-Length: 2\r\nContent-Length: 30\r\n";
    ExpectRefused(Exchange(peer, head + both + "\r\n{}"), both);
  }
}

TEST_F(hostile, oversized_bodies_are_refused)
{
  const std::string body(8 * kMegabyte, ' ');
  for (int i = 0; i < 2 * kWorkers; ++i) {
    ExpectRefused(Exchange(mCaller, PostText("/v1/query", body)), "query");
    ExpectRefused(Exchange(mPeer, PostText("/peer/relay", body)), "relay");
  }
}

TEST_F(hostile, long_headers_are_refused)
{
  for (const auto& peer : { mCaller, mPeer }) {
    for (const std::size_t size : { 4000UL, 4096UL, 5000UL, kMegabyte }) {
      const std::string filler(size, 'h');
      raw_socket one(peer);
      one.Send("GET /healthz HTTP/1.1\r\nX: " + filler + "\r\n\r\n");
      one.Read(std::chrono::milliseconds(1000));
      raw_socket two(peer);
      two.Send("GET /" + filler + " HTTP/1.1\r\n\r\n");
      ExpectRefused(two.Read(std::chrono::milliseconds(1000)), "long target");
    }
  }
}

TEST_F(hostile, truncated_requests_are_dropped)
{
  const std::string query =
    PostText("/v1/query", deployment::Query("find").dump());
  const std::string relay = PostText("/peer/relay", RelayMessage().dump());
  for (std::size_t cut = 0; cut < query.size(); cut += 3) {
    raw_socket one(mCaller);
    one.Send(query.substr(0, cut));
    one.EndSending();
    raw_socket two(mPeer);
    two.Send(relay.substr(0, cut));
  }
}

TEST_F(hostile, deep_values_are_refused)
{
  const std::size_t half = kMegabyte / 2 - 16;
  const std::string open(2 * half, '[');
  const std::string whole = std::string(half, '[') + std::string(half, ']');
  std::string objects;
  for (int i = 0; i < 100000; ++i) {
    objects += "{\"a\":";
  }
  for (const std::string& body : { open, whole, objects }) {
    for (const char* target :
         { "/peer/relay", "/peer/held", "/peer/cancel", "/peer/run" }) {
      ExpectRefused(Exchange(mPeer, PostText(target, body)), target);
    }
    ExpectRefused(Exchange(mPeer, PostText("/rpc", body)), "/rpc");
    for (const char* target : { "/v1/query", "/v1/explain" }) {
      const std::string part = body.substr(0, 60000);
      ExpectRefused(Exchange(mCaller, PostText(target, part)), target);
    }
    json inside = RelayMessage();
    inside["body"] = body.substr(0, 500000);
    Exchange(mPeer, PostText("/peer/relay", inside.dump()));
    const std::string params = body.substr(0, 500000);
    const json call = RpcMessage("anti_entropy", params);
    Exchange(mPeer, PostText("/rpc", call.dump()));
  }
}

TEST_F(hostile, wrong_types_are_refused)
{
  for (const char* kind : { "find", "book" }) {
    const json valid = deployment::Query(kind);
    for (const auto& [name, value] : valid.items()) {
      json less = valid;
      less.erase(name);
      if (name != "body" && !(name == "issued_at_ms" && value == "find")) {
        for (const json& odd : OddValues()) {
          json wrong = valid;
          wrong[name] = odd;
          const auto reply = mDeployment->Ask(0, wrong);
          EXPECT_EQ(reply.mEnd, test_support::probe_end::Replied);
          const bool plain = name == "request_id" && odd == "x";
          const bool stale = name == "issued_at_ms" && reply.mStatus == 503;
          EXPECT_TRUE(reply.mStatus == 400 || plain || stale ||
                      (name == "issued_at_ms" && reply.Ok()))
            << wrong.dump() << reply.mText;
          EXPECT_TRUE(reply.mBody.contains("reason")) << reply.mText;
        }
      }
    }
  }
  const json relay = RelayMessage();
  for (const auto& [name, value] : relay.items()) {
    for (const json& odd : OddValues()) {
      json wrong = RelayMessage();
      wrong[name] = odd;
      const std::string reply =
        Exchange(mPeer, PostText("/peer/relay", wrong.dump()));
      EXPECT_TRUE(StatusOf(reply) == 200 || StatusOf(reply) == 400)
        << wrong.dump() << reply;
    }
  }
}

TEST_F(hostile, unknown_targets_and_methods_get_a_reason)
{
  for (const char* method : { "GET", "POST", "PUT", "DELETE", "OPTIONS" }) {
    for (const char* target :
         { "/", "/v2/query", "/v1/query/", "//", "/../etc/passwd" }) {
      const std::string text =
        std::string(method) + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
      ExpectRefused(Exchange(mCaller, text), text);
      ExpectRefused(Exchange(mPeer, text), text);
    }
  }
  for (const char* target :
       { "/peer/relay", "/peer/held", "/peer/cancel", "/peer/run", "/rpc" }) {
    const std::string text =
      std::string("GET ") + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    ExpectRefused(Exchange(mPeer, text), text);
  }
  for (const char* body :
       { "", "[]", "null", "{}", "{\"service\":1}", "nope" }) {
    ExpectRefused(Exchange(mCaller, PostText("/v1/explain", body)), body);
  }
}

/** The library answers a head that it cannot read by itself, and closes. */
TEST_F(hostile, unreadable_heads_close_the_connection)
{
  for (const std::string head :
       { "GET /%00 HTTP/1.1", "GET / HTTP/9", "\x01" }) {
    for (const auto& peer : { mCaller, mPeer }) {
      const std::string reply = Exchange(peer, head + "\r\nHost: x\r\n\r\n");
      EXPECT_TRUE(reply.empty() ||
                  reply.find("Connection: close") != std::string::npos)
        << head << reply;
    }
  }
}

TEST_F(hostile, valid_relay_is_run)
{
  const std::string reply =
    Exchange(mPeer, PostText("/peer/relay", RelayMessage().dump()));
  EXPECT_EQ(StatusOf(reply), 200) << reply;
}

/** A message may ask for an hour; the contract gives less than a second. */
TEST_F(hostile, relayed_work_ends_with_its_contract)
{
  mDeployment->Leaf({ { "name", "*" }, { "hang", true } });
  json wish = RelayMessage();
  wish["remaining_us"] = 3'600'000'000L;
  EXPECT_EQ(StatusOf(Exchange(mPeer, PostText("/peer/relay", wish.dump()))),
            200);
  mDeployment->Leaf({ { "name", "*" }, { "hang", false } });
  EXPECT_TRUE(deployment::Eventually([&] {
    return IsComplete(mDeployment->Ask(0, deployment::Query("browse")));
  }));
}

/** Deep, cut and random datagrams; none may end the receiving thread. */
TEST_F(hostile, garbage_datagrams_are_dropped)
{
  constexpr std::size_t kLargest = 65000;
  constexpr std::size_t kDecoded = 2000;
  for (const char deep : { '\x81', '\x9f', '\xbf', '\x7f', '\x5f', '\xc1' }) {
    SendDatagram(mPeer, std::string(kLargest, deep));
    SendDatagram(mPeer, std::string(kDecoded, deep));
    ExpectServes();
  }
  std::mt19937 random(kSeed);
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes(random() % 600, '\0');
    std::generate(
      bytes.begin(), bytes.end(), [&] { return static_cast<char>(random()); });
    SendDatagram(mPeer, bytes);
    // A head that looks right, so that later fields are reached.
    const json ping = { random() % 5,
                        random(),
                        { "ghost", "dc9", "x", 1, 1, 0 },
                        json::array({ json::binary({ 0x81, 0x81 }) }),
                        "ghost",
                        "not-an-address",
                        70000 };
    const auto coded = json::to_cbor(ping);
    std::string cut(coded.begin(), coded.end());
    cut[random() % cut.size()] = static_cast<char>(random());
    SendDatagram(mPeer, cut);
  }
}

TEST_F(hostile, slow_senders_hold_no_worker)
{
  std::vector<raw_socket> slow;
  const std::string head =
    "POST /v1/query HTTP/1.1\r\nContent-Length: 60000\r\n";
  for (int i = 0; i < 4 * kWorkers; ++i) {
    slow.emplace_back(mCaller);
    slow.back().Send(i % 2 == 0 ? head + "\r\n{" : head);
  }
  for (int round = 0; round < 20; ++round) {
    for (auto& one : slow) {
      one.Send("x");
    }
    const auto reply = mDeployment->Ask(0, deployment::Query("browse"));
    EXPECT_TRUE(IsComplete(reply)) << reply.mText;
  }
}

/** Bytes and fields of valid messages changed at random. */
TEST_F(hostile, mutated_messages_end_nothing)
{
  struct sample
  {
    model::endpoint mTo;
    std::string mTarget;
    std::string mBody;
  };
  const json held = { { "service", "routes" } };
  const json cancel = { { "attempts", { "a1", "a2" } } };
  const json digests = { { "members", { { "dc1", { 1, 2 } } } },
                         { "everything", true },
                         { "rumours", { 1, 2 } } };
  const std::vector<sample> samples = {
    { mCaller, "/v1/query", deployment::Query("find").dump() },
    { mCaller, "/v1/query", deployment::Query("book").dump() },
    { mCaller,
      "/v1/explain",
      json{ { "service", "routes" }, { "kind", "find" } }.dump() },
    { mPeer, "/peer/relay", RelayMessage().dump() },
    { mPeer, "/peer/held", held.dump() },
    { mPeer, "/peer/cancel", cancel.dump() },
    { mPeer, "/peer/run", deployment::Query("book").dump() },
    { mPeer, "/rpc", RpcMessage("anti_entropy", digests.dump()).dump() },
  };
  std::mt19937 random(kSeed);
  for (const sample& one : samples) {
    for (int i = 0; i < kMutations; ++i) {
      std::string body = one.mBody;
      const auto changes = 1 + random() % 4;
      for (unsigned change = 0; change < changes && !body.empty(); ++change) {
        const auto at = random() % body.size();
        switch (random() % 4) {
          case 0:
            body[at] = static_cast<char>(random());
            break;
          case 1:
            body.erase(at, 1 + random() % 8);
            break;
          case 2:
            body.insert(at, body.substr(random() % body.size(), 12));
            break;
          default:
            body[at] = "[]{}\",:0-9e"[random() % 11];
        }
      }
      const std::string reply = Exchange(one.mTo, PostText(one.mTarget, body));
      EXPECT_NE(StatusOf(reply), 500) << one.mTarget << " " << body << reply;
      EXPECT_NE(StatusOf(reply), 0) << one.mTarget << " " << body;
    }
    ExpectServes();
  }
}

} // namespace
} // namespace monsooncroft::process_test
