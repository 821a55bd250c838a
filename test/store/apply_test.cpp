/**
 * @file apply_test.cpp
 * Applies against each other, in every order and with every fault.
 */
#include "config/manifest_json_func.h"
#include "store/apply_base.h"
#include "store/apply_run_func.h"
#include "store/head_json_func.h"
#include "store/manifest_fetch_func.h"
#include "store/manifest_reader_base.h"
#include "test/store/fake_key_value.h"

#include <gtest/gtest.h>

#include <deque>
#include <iostream>
#include <unordered_set>

namespace monsooncroft::store {
namespace {

model::manifest
Manifest(const std::string& aTenant)
{
  model::workspace tenant;
  tenant.mId = model::workspace_id(aTenant);
  return model::manifest(0, { tenant }, {});
}

apply_request
Request(const std::string& aName)
{
  auto out = apply_request::Of(Manifest(aName), change_id(aName));
  out.mAttempts = 3;
  return out;
}

/** One state of the whole: the store, the operators, the faults still left. */
struct world
{
  fake_store mStore;
  std::vector<apply_machine> mOperators;
  int mFaults = 0;

  std::string Describe() const
  {
    std::string out = std::to_string(mFaults) + mStore.Describe();
    for (const apply_machine& each : mOperators) {
      out += each.Describe() + "\n";
    }
    return out;
  }
};

void
Step(fake_store& aStore, apply_machine& aMachine, store_fault aFault)
{
  const store_call call = *aMachine.Next();
  if (const auto* get = std::get_if<get_call>(&call)) {
    aMachine.OnRead(aStore.Get(get->mKey, aFault));
  } else if (const auto* swap = std::get_if<swap_call>(&call)) {
    aMachine.OnWrite(
      aStore.Swap(swap->mKey, swap->mExpect, swap->mValue, aFault));
  } else {
    const auto& removal = std::get<delete_call>(call);
    aMachine.OnWrite(aStore.Delete(removal.mKey, removal.mExpect, aFault));
  }
}

bool
IsRead(const apply_machine& aMachine)
{
  return std::holds_alternative<get_call>(*aMachine.Next());
}

std::vector<head>
Heads(const fake_store& aStore)
{
  std::vector<head> out;
  for (const std::string& text : aStore.Values(kHeadKey)) {
    out.push_back(ParseHead(text).value());
  }
  return out;
}

/** Every head has its own version and every chunk it names is there. */
void
CheckStore(const fake_store& aStore)
{
  const auto heads = Heads(aStore);
  for (std::size_t i = 0; i < heads.size(); ++i) {
    ASSERT_EQ(heads[i].mVersion, heads[0].mVersion + i);
    ASSERT_EQ(heads[i].VersionOf(heads[i].mChange), heads[i].mVersion);
  }
  if (heads.empty()) {
    return;
  }
  for (const chunk_ref& chunk : heads.back().Chunks()) {
    const auto got = aStore.Get(chunk.Key(), store_fault::None);
    ASSERT_EQ(got.mRevision, chunk.mRevision);
    ASSERT_EQ(HashChunk(got.mValue), chunk.mHash);
  }
}

/** The verdict says what the store says, also after late writes. */
void
CheckVerdict(const fake_store& aStore,
             const apply_verdict& aVerdict,
             const change_id& aChange)
{
  int accepted = 0;
  model::manifest_version version = 0;
  for (const head& each : Heads(aStore)) {
    accepted += each.mChange == aChange ? 1 : 0;
    version = each.mChange == aChange ? each.mVersion : version;
  }
  ASSERT_LE(accepted, 1) << aChange;
  if (aVerdict.mEnd == apply_end::Accepted) {
    ASSERT_EQ(version, aVerdict.mVersion) << aChange;
  }
  const bool never = aVerdict.mEnd == apply_end::Conflict ||
                     aVerdict.mEnd == apply_end::NotApplied;
  if (never) {
    ASSERT_EQ(accepted, 0) << aChange;
  }
}

/** Tries every order of steps and faults, breadth first. */
class explorer
{
public:
  void Run(const world& aStart, const std::vector<apply_request>& aRequests)
  {
    mRequests = aRequests;
    Add(aStart);
    while (!mOpen.empty() && !testing::Test::HasFatalFailure()) {
      const world now = std::move(mOpen.front());
      mOpen.pop_front();
      Expand(now);
    }
  }

  std::size_t States() const { return mSeen.size(); }
  int Ends(apply_end aEnd) const { return mEnds[static_cast<int>(aEnd)]; }

private:
  void Add(world aWorld)
  {
    if (mSeen.insert(aWorld.Describe()).second) {
      mOpen.push_back(std::move(aWorld));
    }
  }

  void Expand(const world& aNow)
  {
    CheckStore(aNow.mStore);
    for (std::size_t i = 0; i < aNow.mStore.Delayed(); ++i) {
      world next = aNow;
      next.mStore.Land(i);
      Add(std::move(next));
    }
    for (std::size_t i = 0; i < aNow.mOperators.size(); ++i) {
      const apply_machine& machine = aNow.mOperators[i];
      if (machine.Next()) {
        StepEveryWay(aNow, i);
      } else {
        CheckVerdict(aNow.mStore, machine.Verdict(), mRequests[i].mChange);
        ++mEnds[static_cast<int>(machine.Verdict().mEnd)];
      }
    }
  }

  void StepEveryWay(const world& aNow, std::size_t aOperator)
  {
    static const std::vector<store_fault> sReads = { store_fault::None,
                                                     store_fault::Unavailable,
                                                     store_fault::Stale };
    static const std::vector<store_fault> sWrites = { store_fault::None,
                                                      store_fault::Unavailable,
                                                      store_fault::AnswerLost,
                                                      store_fault::RequestLost,
                                                      store_fault::Delayed };
    const bool read = IsRead(aNow.mOperators[aOperator]);
    for (const store_fault fault : read ? sReads : sWrites) {
      if (fault != store_fault::None && aNow.mFaults == 0) {
        continue;
      }
      world next = aNow;
      next.mFaults -= fault == store_fault::None ? 0 : 1;
      Step(next.mStore, next.mOperators[aOperator], fault);
      Add(std::move(next));
    }
  }

  std::deque<world> mOpen;
  std::unordered_set<std::string> mSeen;
  std::vector<apply_request> mRequests; ///< Of each operator.
  int mEnds[4] = { 0, 0, 0, 0 };
};

world
Start(const std::vector<apply_request>& aRequests,
      int aFaults,
      model::manifest_version aEarlier = 1)
{
  world out;
  out.mFaults = aFaults;
  for (model::manifest_version i = 0; i < aEarlier; ++i) {
    apply_machine earlier(Request("before" + std::to_string(i)));
    while (earlier.Next()) {
      Step(out.mStore, earlier, store_fault::None);
    }
  }
  for (const apply_request& request : aRequests) {
    out.mOperators.emplace_back(request);
  }
  return out;
}

TEST(apply, two_operators_in_every_order_with_every_fault)
{
  explorer all;
  const std::vector<apply_request> requests = { Request("a"), Request("b") };
  all.Run(Start(requests, 3), requests);
  EXPECT_GT(all.Ends(apply_end::Accepted), 0);
  EXPECT_GT(all.Ends(apply_end::Conflict), 0);
  EXPECT_GT(all.Ends(apply_end::NotApplied), 0);
  EXPECT_GT(all.Ends(apply_end::Unknown), 0);
  std::cout << all.States() << " states\n";
}

TEST(apply, one_change_run_twice_takes_effect_once)
{
  explorer all;
  std::vector<apply_request> requests = { Request("a"), Request("a") };
  requests[0].mRepeated = true;
  requests[1].mRepeated = true;
  all.Run(Start(requests, 3), requests);
  EXPECT_GT(all.Ends(apply_end::Accepted), 0);
  EXPECT_EQ(all.Ends(apply_end::Conflict), 0);
  EXPECT_EQ(all.Ends(apply_end::NotApplied), 0);
}

TEST(apply, deleting_old_chunks_never_hits_one_in_use)
{
  explorer all;
  // The operators ship content that was in force before and is retired: the
  // first one's chunk is due for deletion as they begin.
  std::vector<apply_request> requests = { Request("before0"), Request("b") };
  requests[0].mChange = change_id("again");
  all.Run(Start(requests, 1, kRetiredVersions + 1), requests);
  EXPECT_GT(all.Ends(apply_end::Accepted), 0);
  EXPECT_GT(all.Ends(apply_end::Conflict), 0);
}

TEST(apply, a_change_whose_name_cannot_be_read_back_is_not_applied)
{
  fake_key_value store;
  apply_request request = Request("a");
  request.mChange = change_id("two words");
  EXPECT_EQ(RunApply(request, store, [](int) {}).mEnd, apply_end::NotApplied);
  EXPECT_EQ(RunApply(Request("b"), store, [](int) {}).mVersion, 1U);
}

TEST(apply, the_loser_learns_who_won)
{
  world now = Start({ Request("a"), Request("b") }, 0);
  apply_machine& first = now.mOperators[0];
  apply_machine& second = now.mOperators[1];
  Step(now.mStore, first, store_fault::None);
  while (second.Next()) {
    Step(now.mStore, second, store_fault::None);
  }
  while (first.Next()) {
    Step(now.mStore, first, store_fault::None);
  }
  EXPECT_EQ(second.Verdict().mEnd, apply_end::Accepted);
  EXPECT_EQ(first.Verdict().mEnd, apply_end::Conflict);
  EXPECT_EQ(first.Verdict().mWinner, Request("b").mChange);
  EXPECT_EQ(first.Verdict().mVersion, 2U);
}

TEST(apply, a_plan_against_an_older_version_conflicts)
{
  fake_key_value store;
  ASSERT_EQ(RunApply(Request("a"), store, [](int) {}).mVersion, 1U);
  ASSERT_EQ(RunApply(Request("b"), store, [](int) {}).mVersion, 2U);
  apply_request late = Request("c");
  late.mBase = 1;
  const auto verdict = RunApply(late, store, [](int) {});
  EXPECT_EQ(verdict.mEnd, apply_end::Conflict);
  EXPECT_EQ(verdict.mWinner, Request("b").mChange);
}

TEST(apply, a_lost_store_is_not_written_below_what_was_seen)
{
  fake_key_value store;
  apply_request request = Request("a");
  request.mSeen = 9;
  EXPECT_EQ(RunApply(request, store, [](int) {}).mEnd, apply_end::NotApplied);
  request.mRecover = true;
  EXPECT_EQ(RunApply(request, store, [](int) {}).mVersion, 10U);
}

TEST(apply, store_down_means_not_applied)
{
  fake_key_value store;
  store.SetDown(true);
  const auto verdict = RunApply(Request("a"), store, [](int) {});
  EXPECT_EQ(verdict.mEnd, apply_end::NotApplied);
}

TEST(apply, old_chunks_are_deleted_and_readers_always_find_theirs)
{
  fake_key_value store(7);
  manifest_reader reader;
  for (int i = 0; i < 100; ++i) {
    store.SetFaults(i % 3 == 0 ? 0.3 : 0);
    RunApply(Request("change-" + std::to_string(i)), store, [](int) {});
    store.SetFaults(0);
    const fetch_outcome got = FetchManifest(store, reader);
    ASSERT_EQ(got.mStatus, store_status::Ok);
    const auto heads = Heads(store.Store());
    ASSERT_EQ(reader.Version(), heads.back().mVersion);
  }
  // The head, its chunk, those that wait to be deleted, and what changes that
  // came to nothing have left.
  EXPECT_LT(store.Store().Keys(), 2 + kRetiredVersions + 34);
  EXPECT_GT(reader.Version(), 60U);
}

} // namespace
} // namespace monsooncroft::store
