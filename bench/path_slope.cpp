/**
 * @file path_slope.cpp
 * Processor time and memory of the query path's parts by size, on one thread.
 */
#include "config/manifest_json_func.h"
#include "entry/manifest_assembler_base.h"
#include "entry/relay_codec_func.h"
#include "link/leaf_codec_func.h"
#include "policy/admission_queue_base.h"
#include "policy/answer_func.h"
#include "policy/fanout_base.h"
#include "policy/hedge_delay_base.h"
#include "policy/snapshot_view_base.h"
#include "policy/token_bucket_budget_base.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>

namespace {

using namespace monsooncroft;

constexpr int kRounds = 200;
constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kMicrosecondsPerNanosecond = 1e-3;
constexpr const char* kResult =
  R"([{"shard":"s1","version":7,"request":"request-0001","score":417}])";

/** Processor time of this thread, in nanoseconds. */
double
CpuNow()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(time.tv_nsec);
}

std::size_t
HeapNow()
{
  return mallinfo2().uordblks;
}

/** Prints the processor time of one unit of a task. */
void
Measure(const char* aName, int aUnits, const std::function<void()>& aTask)
{
  aTask();
  const double start = CpuNow();
  for (int round = 0; round < kRounds; ++round) {
    aTask();
  }
  const double spent = (CpuNow() - start) / kRounds;
  std::printf("%-28s %6d units %9.2f us each %10.1f us in all\n",
              aName,
              aUnits,
              spent * kMicrosecondsPerNanosecond / aUnits,
              spent * kMicrosecondsPerNanosecond);
}

std::string
Number(const char* aPrefix, int aNumber)
{
  return aPrefix + std::to_string(aNumber);
}

policy::fanout_plan
Plan(int aShards)
{
  policy::fanout_plan plan;
  plan.mDeadline = model::instant(std::chrono::seconds(1));
  plan.mSnapshot = 7;
  plan.mAttemptPrefix = "entry-0001.1796363378436.r12345.";
  for (int i = 0; i < aShards; ++i) {
    plan.mShards.push_back(
      { model::shard_id(Number("shard-", i)),
        { policy::target_id(Number("entry-a", i % 16)),
          policy::target_id(Number("entry-b", i % 16)) } });
  }
  return plan;
}

model::attempt_result
ResultOf(const policy::send_effect& aSend)
{
  model::attempt_result result;
  result.mAttempt = aSend.mAttempt;
  result.mShard = aSend.mShard;
  result.mOutcome = model::attempt_outcome::Ok;
  result.mSnapshot = 7;
  result.mResult = kResult;
  return result;
}

void
RunFanout(int aShards)
{
  const policy::no_hedge hedge;
  policy::token_bucket_budget budget;
  policy::fanout run(Plan(aShards), hedge, budget, 1);
  const model::instant now;
  for (const auto& effect : run.Start(now)) {
    run.OnResult(ResultOf(std::get<policy::send_effect>(effect)), now);
  }
}

model::service
Service(int aShards)
{
  model::service service;
  service.mId = model::service_id("routes");
  for (int i = 0; i < aShards; ++i) {
    model::leaf leaf;
    leaf.mId = model::leaf_id(Number("routes-leaf-", i));
    leaf.mEndpoint = { "10.0.0.1", static_cast<std::uint16_t>(i + 1) };
    leaf.mDataCentre = model::data_centre_id("dc1");
    leaf.mSlots = 2;
    leaf.mConnectionLimit = 25;
    service.mLeaves.push_back(leaf);
    service.mShards.push_back({ model::shard_id(Number("shard-", i)),
                                { model::coverage_name(Number("quarter ", i)) },
                                { leaf.mId } });
  }
  model::contract terms;
  terms.mKind = model::kind_id("find");
  terms.mDeadline = std::chrono::milliseconds(160);
  service.mContracts.push_back(terms);
  return service;
}

void
BuildAnswers(int aShards)
{
  const model::service service = Service(aShards);
  const policy::fanout_plan plan = Plan(aShards);
  policy::fanout_report report;
  for (const policy::shard_plan& shard : plan.mShards) {
    policy::shard_report end;
    end.mShard = shard.mShard;
    end.mOutcome = policy::shard_outcome::Answered;
    end.mLastResult = ResultOf({ {}, shard.mShard, {}, false });
    report.mShards.push_back(std::move(end));
  }
  Measure("merge and coverage", aShards, [&] {
    policy::BuildAnswer(plan, report, service, service.mContracts[0], 1);
  });
}

void
Relays(int aShards)
{
  entry::relay_request request;
  request.mRequest = model::request_id("request-0001");
  request.mService = model::service_id("routes");
  request.mBody = R"({"text":"sharpen two knives"})";
  entry::relay_reply reply;
  for (const policy::shard_plan& shard : Plan(aShards).mShards) {
    const model::attempt_id attempt("entry-0001.1796363378436.r12345." +
                                    shard.mShard.Value());
    request.mShards.push_back({ shard.mShard, attempt });
    reply.mResults.push_back(ResultOf({ attempt, shard.mShard, {}, false }));
  }
  const std::string requestText = entry::Emit(request);
  const std::string replyText = entry::Emit(reply);
  Measure("relay: both ends' codecs", aShards, [&] {
    entry::ParseRelayRequest(entry::Emit(request));
    entry::ParseRelayReply(entry::Emit(reply));
  });
  std::printf("%-28s %6d units %9.1f bytes each, request and reply\n",
              "relay: size",
              aShards,
              static_cast<double>(requestText.size() + replyText.size()) /
                aShards);
}

void
Admissions(int aAttempts)
{
  Measure("admission", aAttempts, [&] {
    policy::admission_queue queue(2);
    const model::instant now;
    for (int i = 0; i < aAttempts; ++i) {
      policy::admission_item item;
      item.mAttempt = model::attempt_id(Number("entry-0001.r12345.", i));
      item.mWorkspace = model::workspace_id("guild");
      item.mDeadline = now + std::chrono::seconds(1);
      queue.Offer(item, now);
      queue.OnDone(item.mAttempt,
                   model::attempt_outcome::Ok,
                   std::chrono::milliseconds(2),
                   now);
    }
  });
}

void
Views(int aShards)
{
  const model::service service = Service(aShards);
  const std::size_t before = HeapNow();
  policy::snapshot_view view;
  const model::instant now;
  for (const model::shard& shard : service.mShards) {
    view.OnHeldVersions(shard.mId, shard.mReplicas[0], { 7 }, now);
  }
  std::printf("%-28s %6d units %9.1f bytes each\n",
              "snapshot view: memory",
              aShards,
              static_cast<double>(HeapNow() - before) / aShards);
}

void
Manifests(int aLeaves)
{
  const std::string text = config::EmitService(Service(aLeaves));
  const std::size_t before = HeapNow();
  const auto parsed = config::ParseService(text);
  std::printf("%-28s %6d units %9.1f bytes each, %.1f bytes of text\n",
              "manifest: memory",
              aLeaves,
              static_cast<double>(HeapNow() - before) / aLeaves,
              static_cast<double>(text.size()) / aLeaves);
  Measure("manifest: parse", aLeaves, [&] {
    const auto again = config::ParseService(text);
    if (!again) {
      std::abort();
    }
  });
}

/** One change of one service in a manifest of many. */
void
Changes(int aServices)
{
  constexpr int kLeaves = 16;
  cluster::manifest_head head;
  std::vector<cluster::chunk> chunks;
  for (int i = 0; i < aServices; ++i) {
    model::service service = Service(kLeaves);
    service.mId = model::service_id(Number("service-", i));
    for (model::leaf& leaf : service.mLeaves) {
      leaf.mId = model::leaf_id(service.mId.Value() + leaf.mId.Value());
      leaf.mEndpoint.mAddress =
        "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250);
    }
    for (model::shard& shard : service.mShards) {
      shard.mReplicas = { model::leaf_id(service.mId.Value() +
                                         shard.mReplicas[0].Value()) };
    }
    chunks.push_back({ service.mId.Value(), config::EmitService(service) });
    head.mChunks.push_back({ service.mId.Value(), chunks.back().mText });
  }
  entry::manifest_assembler assembler;
  Measure("manifest: change, per leaf", aServices * kLeaves, [&] {
    const auto whole = assembler.Assemble(head, chunks);
    if (!whole) {
      std::abort();
    }
  });
}

} // namespace

int
main()
{
  for (const int units : { 16, 64, 260 }) {
    Measure("fan-out decisions", units, [&] { RunFanout(units); });
    BuildAnswers(units);
    Relays(units);
    Admissions(units);
    Views(units);
    Manifests(units);
    Changes(units);
  }
  return 0;
}
