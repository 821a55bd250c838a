/**
 * @file manifest_reader_test.cpp
 * An instance only ever moves to a higher, valid manifest; plans are exact.
 */
#include "config/manifest_json_func.h"
#include "store/apply_run_func.h"
#include "store/call_budget_base.h"
#include "store/head_json_func.h"
#include "store/manifest_fetch_func.h"
#include "store/manifest_plan_type.h"
#include "store/manifest_reader_base.h"
#include "test/store/fake_key_value.h"

#include <gtest/gtest.h>

namespace monsooncroft::store {
namespace {

model::service
Service(const std::string& aName, std::uint16_t aPort)
{
  model::service out;
  out.mId = model::service_id(aName);
  const model::leaf_id leaf(aName + "-l1");
  out.mLeaves = {
    { leaf, { "127.0.0.1", aPort }, model::data_centre_id("dc1"), 2, 25 }
  };
  out.mShards = {
    { model::shard_id("s1"), { model::coverage_name("market") }, { leaf } }
  };
  model::contract route;
  route.mKind = model::kind_id("route");
  route.mDeadline = std::chrono::milliseconds(160);
  out.mContracts = { route };
  return out;
}

model::manifest
Manifest(std::vector<model::service> aServices)
{
  return model::manifest(0, {}, std::move(aServices));
}

void
Apply(fake_key_value& aStore,
      const model::manifest& aManifest,
      const char* aChange)
{
  const auto verdict = RunApply(
    apply_request::Of(aManifest, change_id(aChange)), aStore, [](int) {});
  ASSERT_EQ(verdict.mEnd, apply_end::Accepted) << verdict.mReason;
}

std::string
HeadText(fake_key_value& aStore)
{
  return aStore.Get(kHeadKey).mValue;
}

TEST(manifest_reader, follows_upwards_and_fetches_only_what_changed)
{
  fake_key_value store;
  manifest_reader reader;
  Apply(store, Manifest({ Service("a", 1), Service("b", 2) }), "one");
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Adopted);
  const std::string older = HeadText(store);
  Apply(store, Manifest({ Service("a", 1), Service("b", 3) }), "two");
  EXPECT_EQ(reader.OnHead(HeadText(store), head_source::Peer),
            reader_step::Fetching);
  EXPECT_EQ(reader.Missing().size(), 1U);
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Adopted);
  EXPECT_EQ(reader.InForce()->Services()[1], Service("b", 3));
  EXPECT_EQ(reader.OnHead(older, head_source::Peer), reader_step::Ignored);
  EXPECT_TRUE(reader.Alarms().empty());
  EXPECT_EQ(reader.OnHead(older, head_source::Platform), reader_step::Refused);
  ASSERT_EQ(reader.Alarms().size(), 1U);
  EXPECT_EQ(reader.Alarms()[0].mKind, alarm_kind::LowerVersion);
  EXPECT_EQ(reader.Version(), 2U);
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Ignored);
  EXPECT_TRUE(reader.Alarms().empty());
}

TEST(manifest_reader, an_invalid_manifest_leaves_the_old_one_in_force)
{
  fake_key_value store;
  manifest_reader reader;
  Apply(store, Manifest({ Service("a", 1) }), "one");
  FetchManifest(store, reader);
  // Two leaves at one address: each service passes, the whole does not.
  Apply(store, Manifest({ Service("a", 1), Service("b", 1) }), "two");
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Refused);
  EXPECT_EQ(reader.Version(), 1U);
  ASSERT_EQ(reader.Alarms().size(), 1U);
  EXPECT_EQ(reader.Alarms()[0].mKind, alarm_kind::InvalidManifest);
  EXPECT_EQ(reader.OnHead(HeadText(store), head_source::Peer),
            reader_step::Refused);
  Apply(store, Manifest({ Service("a", 4) }), "three");
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Adopted);
  EXPECT_EQ(reader.Version(), 3U);
  EXPECT_TRUE(reader.Alarms().empty());
}

TEST(manifest_reader, wrong_chunks_and_hostile_heads_are_refused)
{
  fake_key_value store;
  manifest_reader reader;
  EXPECT_EQ(reader.OnHead("{}", head_source::Peer), reader_step::Refused);
  Apply(store, Manifest({ Service("a", 1) }), "one");
  reader.OnHead(HeadText(store), head_source::Platform);
  const chunk_ref chunk = reader.Missing()[0];
  EXPECT_EQ(reader.OnChunk(chunk, "[{}]"), reader_step::Refused);
  EXPECT_EQ(reader.Version(), 0U);
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Adopted);
}

TEST(manifest_reader, a_lost_head_raises_an_alarm_and_changes_nothing)
{
  fake_key_value store;
  manifest_reader reader;
  Apply(store, Manifest({ Service("a", 1) }), "one");
  FetchManifest(store, reader);
  store.Delete(kHeadKey, 1);
  EXPECT_EQ(FetchManifest(store, reader).mStep, reader_step::Refused);
  EXPECT_EQ(reader.Version(), 1U);
  EXPECT_EQ(reader.Alarms().at(0).mKind, alarm_kind::LowerVersion);
}

TEST(manifest_plan, names_what_changes_and_nothing_else)
{
  const model::manifest from = Manifest({ Service("a", 1), Service("b", 2) });
  model::service changed = Service("b", 2);
  changed.mLeaves[0].mSlots = 4;
  changed.mContracts[0].mIdempotent = false;
  const auto plan = PlanChanges(from, Manifest({ changed, Service("c", 3) }));
  const model::service_id none;
  const model::service_id b("b");
  EXPECT_EQ(
    plan,
    (std::vector<plan_entry>{
      { plan_change::Removed, plan_subject::Service, none, "a", "" },
      { plan_change::Changed, plan_subject::Leaf, b, "b-l1", "slots 2 -> 4" },
      { plan_change::Changed,
        plan_subject::Contract,
        b,
        "route",
        "idempotent true -> false" },
      { plan_change::Added, plan_subject::Service, none, "c", "" } }));
  EXPECT_TRUE(PlanChanges(from, from).empty());
}

TEST(call_budget, holds_reads_and_writes_to_their_share)
{
  using namespace std::chrono_literals;
  const model::instant start;
  call_budget budget({ 2, 10 }, start);
  EXPECT_TRUE(budget.Take(call_kind::Write, start));
  EXPECT_TRUE(budget.Take(call_kind::Write, start));
  EXPECT_FALSE(budget.Take(call_kind::Write, start));
  EXPECT_TRUE(budget.Take(call_kind::Read, start));
  EXPECT_TRUE(budget.Take(call_kind::Write, start + 500ms));
  EXPECT_FALSE(budget.Take(call_kind::Write, start + 500ms));
  EXPECT_FALSE(budget.Take(call_kind::Write, start + 400ms));
}

} // namespace
} // namespace monsooncroft::store
