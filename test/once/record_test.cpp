/**
 * @file record_test.cpp
 * Tests the record's codec and limits, writes shared by several requests,
 * hashes of requests, home instances and the answer cache.
 */
#include "once/answer_cache_base.h"
#include "once/home_instance_func.h"
#include "once/record_codec_func.h"
#include "once/record_keeper_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace monsooncroft::once {
namespace {

using namespace std::chrono_literals;

const incarnation kSelf{ model::instance_id("a"), 7 };

clock_reading
At(std::chrono::milliseconds aTime)
{
  return { model::instant(aTime), model::wall_instant(aTime) };
}

offer
Offer(std::uint64_t aNumber)
{
  return { { aNumber, aNumber }, {}, model::instant::max() };
}

RC_GTEST_PROP(record,
              codec_keeps_every_entry_within_its_bound,
              (const std::vector<std::uint64_t>& aHashes, std::string aName))
{
  record value;
  for (const std::uint64_t hash : aHashes) {
    // Instance names come from settings; the codec only guarantees valid UTF-8
    // on decoding.
    std::erase_if(aName, [](char aLetter) { return aLetter < ' '; });
    value[{ hash, ~hash }] = { model::wall_instant(
                                 std::chrono::milliseconds(hash >> 20U)),
                               { model::instance_id(aName), hash } };
  }
  const std::string text = EncodeRecord(value);
  RC_ASSERT(DecodeRecord(text) == value);
  RC_ASSERT(text.size() <= MaxEncodedBytes(value));
}

TEST(record, text_that_is_no_record_is_not_overwritten)
{
  for (const char* text : { "{}",
                            "nonsense",
                            "[]",
                            R"({"v":2,"o":[],"e":[]})",
                            R"({"v":1,"o":[],"e":[["12",0,0]]})" }) {
    EXPECT_FALSE(DecodeRecord(text)) << text;
    record_keeper keeper({}, kSelf);
    keeper.Offer(Offer(1), At(0ms));
    const auto effects = keeper.OnRead({ true, 3, text }, At(1ms));
    EXPECT_FALSE(effects.mCas);
    ASSERT_EQ(effects.mVerdicts.size(), 1U);
    EXPECT_STREQ(effects.mVerdicts[0].mReason, kReasonRecordUnreadable);
  }
}

TEST(record, requests_that_come_during_a_write_share_the_next_one)
{
  record_keeper keeper({}, kSelf);
  keeper.Offer(Offer(0), At(0ms));
  const auto first = keeper.OnRead({ true, 0, "" }, At(1ms));
  ASSERT_TRUE(first.mCas);
  for (std::uint64_t number = 1; number <= 5; ++number) {
    EXPECT_FALSE(keeper.Offer(Offer(number), At(2ms)).mCas);
  }
  const auto stored = keeper.OnCas({ cas_outcome::Stored, 1 }, At(3ms));
  EXPECT_EQ(stored.mVerdicts.size(), 1U);
  EXPECT_FALSE(stored.mCas) << "faster than the write interval";
  EXPECT_EQ(stored.mWakeAt, model::instant(101ms));
  const auto second = keeper.OnTimer(At(101ms));
  ASSERT_TRUE(second.mCas);
  EXPECT_EQ(second.mCas->mExpectedRevision, 1U);
  EXPECT_EQ(DecodeRecord(second.mCas->mValue)->size(), 6U);
}

TEST(record, used_permission_survives_a_step_back_of_the_clock)
{
  record_settings settings;
  record_keeper keeper(settings, kSelf);
  keeper.Offer(Offer(1), At(0ms));
  keeper.OnRead({ true, 0, "" }, At(1ms));
  const auto stored = keeper.OnCas({ cas_outcome::Stored, 1 }, At(2ms));
  ASSERT_EQ(stored.mVerdicts.at(0).mKind, verdict_kind::Dispatch);
  keeper.OnTimer(At(settings.mWindow + 1ms));
  const auto again = keeper.Offer(Offer(1), At(3ms));
  ASSERT_EQ(again.mVerdicts.size(), 1U);
  EXPECT_EQ(again.mVerdicts[0].mKind, verdict_kind::OwnedHere);
}

TEST(record, full_bucket_refuses_the_rest)
{
  record_settings settings;
  settings.mMaxBytes = 300;
  record_keeper keeper(settings, kSelf);
  keeper.Offer(Offer(0), At(0ms));
  for (std::uint64_t number = 1; number < 10; ++number) {
    keeper.Offer(Offer(number), At(0ms));
  }
  const auto effects = keeper.OnRead({ true, 0, "" }, At(1ms));
  ASSERT_TRUE(effects.mCas);
  EXPECT_LE(effects.mCas->mValue.size(), settings.mMaxBytes);
  const auto recorded = DecodeRecord(effects.mCas->mValue)->size();
  EXPECT_GT(recorded, 0U);
  EXPECT_EQ(effects.mVerdicts.size(), 10 - recorded);
  EXPECT_STREQ(effects.mVerdicts[0].mReason, kReasonRecordFull);
}

TEST(record, identity_leaves_out_the_body_and_joins_no_fields)
{
  model::query original;
  original.mService = model::service_id("ab");
  original.mWorkspace = model::workspace_id("c");
  model::query other = original;
  other.mBody = "1";
  EXPECT_EQ(HashRequest(original), HashRequest(other));
  EXPECT_NE(HashContent(original), HashContent(other));
  other.mService = model::service_id("a");
  other.mWorkspace = model::workspace_id("bc");
  EXPECT_NE(HashRequest(original), HashRequest(other));
}

TEST(record, home_moves_only_with_its_instance)
{
  const std::vector<model::instance_id> all = { model::instance_id("a"),
                                                model::instance_id("b"),
                                                model::instance_id("c") };
  const std::vector<model::instance_id> fewer = { all[2], all[0] };
  int homes = 0;
  for (bucket_index bucket = 0; bucket < 64; ++bucket) {
    const auto home = *HomeInstance(BucketKey(bucket), all);
    homes += home == all[1] ? 1 : 0;
    if (home != all[1]) {
      EXPECT_EQ(*HomeInstance(BucketKey(bucket), fewer), home);
    }
  }
  EXPECT_GT(homes, 8);
  EXPECT_EQ(HomeInstance("once/0", {}), nullptr);
}

TEST(answer_cache, later_sends_join_and_then_get_the_stored_answer)
{
  answer_cache cache({});
  const model::instant now;
  EXPECT_EQ(cache.Register({ 1, 1 }, { 5, 5 }, now).mKind,
            arrival_kind::FirstSend);
  EXPECT_EQ(cache.Register({ 1, 1 }, { 5, 5 }, now).mKind,
            arrival_kind::Running);
  EXPECT_EQ(cache.Register({ 1, 1 }, { 6, 6 }, now).mKind,
            arrival_kind::IdReused);
  model::answer answer;
  answer.mStatus = model::status::Complete;
  cache.Finish({ 1, 1 }, answer, now);
  const auto stored = cache.Register({ 1, 1 }, { 5, 5 }, now);
  EXPECT_EQ(stored.mKind, arrival_kind::Stored);
  EXPECT_EQ(stored.mAnswer, answer);
  EXPECT_FALSE(cache.Find({ 1, 1 }, { 5, 5 }, now + 1h));
  EXPECT_EQ(cache.StoredBytes(), 0U);
}

TEST(answer_cache, not_run_is_forgotten_and_bounds_hold)
{
  answer_cache_settings settings;
  settings.mMaxRunning = 2;
  settings.mMaxFinished = 1;
  answer_cache cache(settings);
  const model::instant now;
  cache.Register({ 1, 1 }, {}, now);
  cache.Register({ 2, 2 }, {}, now);
  EXPECT_EQ(cache.Register({ 3, 3 }, {}, now).mKind, arrival_kind::Full);
  cache.Finish({ 1, 1 }, model::answer(), now);
  EXPECT_EQ(cache.Register({ 1, 1 }, {}, now).mKind, arrival_kind::FirstSend);
  model::answer ran;
  ran.mStatus = model::status::Unknown;
  cache.Finish({ 1, 1 }, ran, now);
  cache.Finish({ 2, 2 }, ran, now);
  EXPECT_EQ(cache.FinishedCount(), 1U);
  EXPECT_FALSE(cache.Find({ 1, 1 }, {}, now));
}

} // namespace
} // namespace monsooncroft::once
