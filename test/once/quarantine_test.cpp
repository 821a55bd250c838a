/**
 * @file quarantine_test.cpp
 * Guards against a request that crashes more than two leaves, against
 * harmless requests refused because they shared a leaf with it, and against
 * crash marks whose merge depends on their order.
 */
#include "once/crash_detector_base.h"
#include "once/crash_simulation.h"
#include "once/recent_answers_base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iostream>

namespace monsooncroft::once {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kSeeds = 500;
const model::service_id kService("s");

/** Worst result of kSeeds runs. */
crash_simulation_result
WorstResult(crash_simulation_options aOptions)
{
  crash_simulation_result worst;
  worst.mAnswered = aOptions.mHarmless;
  for (aOptions.mSeed = 0; aOptions.mSeed < kSeeds; ++aOptions.mSeed) {
    const crash_simulation_result result = crash_simulation(aOptions).Run();
    worst.mCrashes = std::max(worst.mCrashes, result.mCrashes);
    worst.mAnswered = std::min(worst.mAnswered, result.mAnswered);
    worst.mRefused = std::max(worst.mRefused, result.mRefused);
  }
  std::cout << "crashes " << worst.mCrashes << ", harmless requests answered "
            << worst.mAnswered << " refused " << worst.mRefused << '\n';
  return worst;
}

TEST(crash_simulation, one_caller_crashes_two_leaves_and_others_are_answered)
{
  const crash_simulation_result worst = WorstResult({});
  EXPECT_EQ(worst.mCrashes, 2);
  EXPECT_EQ(worst.mAnswered, 6);
}

TEST(crash_simulation,
     copies_in_flight_at_once_crash_no_more_leaves_than_copies)
{
  crash_simulation_options options;
  options.mCrashers = 4;
  EXPECT_LE(WorstResult(options).mCrashes, 4);
}

TEST(crash_simulation, screening_limits_copies_to_two_crashes)
{
  crash_simulation_options options;
  options.mCrashers = 4;
  options.mScreening = screening_mode::Always;
  const crash_simulation_result worst = WorstResult(options);
  EXPECT_EQ(worst.mCrashes, 2);
  EXPECT_EQ(worst.mAnswered, 6);
}

TEST(crash_simulation, several_crashing_requests_crash_two_leaves_each)
{
  crash_simulation_options options;
  options.mCrashers = 4;
  options.mDistinctCrashers = true;
  const crash_simulation_result worst = WorstResult(options);
  EXPECT_EQ(worst.mCrashes, 8);
  EXPECT_EQ(worst.mAnswered, 6) << "an isolated suspect shares no leaf";
}

TEST(crash_simulation,
     marks_distributed_after_the_answer_allow_more_than_two_crashes)
{
  crash_simulation_options options;
  options.mMarksBeforeAnswer = false;
  EXPECT_GT(WorstResult(options).mCrashes, 2);
}

std::vector<crash_mark>
Marks(const std::vector<std::uint8_t>& aNumbers)
{
  std::vector<crash_mark> out;
  for (const std::uint64_t number : aNumbers) {
    const suspicion suspected{ { number % 3, 0 }, { number % 5, 0 }, kService };
    const auto expires = model::wall_instant(1ms * (1 + number / 32));
    out.push_back({ suspected, (number & 16U) != 0, expires });
  }
  return out;
}

RC_GTEST_PROP(quarantine,
              merging_is_commutative_associative_and_idempotent,
              (const std::vector<std::uint8_t>& aNumbers, unsigned aSeed))
{
  const model::wall_instant now;
  quarantine first({});
  quarantine second({});
  quarantine relay({});
  auto marks = Marks(aNumbers);
  for (const crash_mark& mark : marks) {
    first.Merge(mark, now);
  }
  std::shuffle(marks.begin(), marks.end(), std::mt19937(aSeed));
  for (std::size_t i = 0; i < marks.size(); ++i) {
    (i % 2 == 0 ? second : relay).Merge(marks[i], now);
    second.Merge(marks[i / 2], now);
  }
  for (const crash_mark& mark : relay.UnexpiredMarks(now)) {
    second.Merge(mark, now);
  }
  RC_ASSERT(first.UnexpiredMarks(now) == second.UnexpiredMarks(now));
}

TEST(quarantine, marks_are_bounded_expire_and_keep_their_names)
{
  quarantine_settings settings;
  settings.mMaxMarks = 2;
  quarantine table(settings);
  const model::wall_instant now;
  for (std::uint64_t number = 0; number < 9; ++number) {
    const auto mark =
      table.ConfirmSuspicion({ { 1, 1 }, { number, 1 }, kService }, now);
    EXPECT_EQ(ParseCrashMarkName(CrashMarkName(mark), kService),
              mark.mSuspicion);
  }
  EXPECT_EQ(table.MarkCount(), 2U);
  EXPECT_EQ(table.Admit({ 1, 1 }, kService, now), screening_permit::Refused);
  EXPECT_EQ(table.Admit({ 1, 1 }, kService, now + 1h),
            screening_permit::Unrestricted);
  table.OnTimer(now + 1h);
  EXPECT_EQ(table.MarkCount(), 0U);
  EXPECT_FALSE(ParseCrashMarkName("12", kService));
}

TEST(quarantine, crashes_explained_by_another_request_isolate_a_harmless_one)
{
  quarantine table({});
  const model::wall_instant now;
  const content_hash crashing{ 1, 1 };
  const content_hash harmless{ 2, 2 };
  for (std::uint64_t crash = 0; crash < 3; ++crash) {
    table.ConfirmSuspicion({ crashing, { crash, 0 }, kService }, now);
    if (crash < 2) {
      table.ConfirmSuspicion({ harmless, { crash, 0 }, kService }, now);
    }
  }
  EXPECT_EQ(table.Admit(crashing, kService, now), screening_permit::Refused);
  EXPECT_EQ(table.Admit(harmless, kService, now), screening_permit::Isolated);
  EXPECT_EQ(table.OnAnswered(harmless, true, now).size(), 2U);
  EXPECT_EQ(table.Admit(harmless, kService, now),
            screening_permit::Unrestricted);
  EXPECT_EQ(table.Admit({ 3, 3 }, kService, now),
            screening_permit::FirstShardAlone)
    << "a crash at the service is remembered";
}

/** Guards against a request that is refused for crashes which it did not cause,
 * and against one that crashes the leaves of one service only and is cleared by
 * the answers of others. */
TEST(quarantine, an_answer_clears_the_marks_of_its_service_only)
{
  quarantine table({});
  const model::wall_instant now;
  const content_hash content{ 1, 1 };
  const model::service_id other("t");
  for (std::uint64_t crash = 0; crash < 2; ++crash) {
    table.ConfirmSuspicion({ content, { crash, 0 }, kService }, now);
  }
  EXPECT_TRUE(table.OnServiceAnswered(content, other, now).empty());
  EXPECT_TRUE(table.OnServiceAnswered({ 2, 2 }, kService, now).empty());
  EXPECT_EQ(table.Admit(content, kService, now), screening_permit::Refused);
  EXPECT_TRUE(table.HasUnclearedMarks(content));
  EXPECT_FALSE(table.HasUnclearedMarks({ 2, 2 }));
  const auto cleared = table.OnServiceAnswered(content, kService, now);
  EXPECT_FALSE(table.HasUnclearedMarks(content));
  ASSERT_EQ(cleared.size(), 2U);
  EXPECT_TRUE(cleared.front().mCleared);
  EXPECT_TRUE(table.OnServiceAnswered(content, kService, now).empty());
  EXPECT_EQ(table.Admit(content, kService, now),
            screening_permit::FirstShardAlone);
  // Further crashes count, until the next answer.
  for (std::uint64_t crash = 2; crash < 4; ++crash) {
    table.ConfirmSuspicion({ content, { crash, 0 }, kService }, now);
  }
  EXPECT_EQ(table.Admit(content, kService, now), screening_permit::Refused);
}

TEST(recent_answers, are_forgotten_after_some_seconds_and_are_bounded)
{
  recent_answers answers;
  const model::instant now{ 1'000s };
  const content_hash content{ 1, 1 };
  answers.Add(content, kService, now);
  EXPECT_TRUE(answers.Contains(content, kService, now + 4s));
  EXPECT_FALSE(answers.Contains(content, model::service_id("t"), now));
  EXPECT_FALSE(answers.Contains({ 1, 2 }, kService, now));
  answers.Add({ 1, 3 }, kService, now + 6s);
  EXPECT_TRUE(answers.Contains(content, kService, now + 6s));
  EXPECT_FALSE(answers.Contains(content, kService, now + 12s));
  answers.Add({ 1, 4 }, kService, now + 60s);
  EXPECT_FALSE(answers.Contains({ 1, 3 }, kService, now + 60s));
  for (std::uint64_t number = 0; number < 20'000; ++number) {
    answers.Add({ 2, number }, kService, now + 60s);
  }
  EXPECT_FALSE(answers.Contains({ 2, 0 }, kService, now + 60s));
  EXPECT_TRUE(answers.Contains({ 2, 19'999 }, kService, now + 60s));
}

TEST(crash_detector, only_a_refusal_or_another_boot_id_proves_a_crash)
{
  const content_hash content{ 1, 1 };
  const model::instant now;
  crash_detector detector(model::leaf_id("l"));
  detector.OnBootId("one");
  detector.OnConnectionLost(content, kService, now);
  EXPECT_EQ(detector.OnBootId("one").mDismissed.size(), 1U);
  const suspicion open = detector.OnConnectionLost(content, kService, now);
  EXPECT_EQ(detector.OnBootId("two").mConfirmed, std::vector{ open });
  detector.OnConnectionLost(content, kService, now);
  EXPECT_EQ(detector.OnConnectionRefused().mConfirmed.size(), 1U);
  detector.OnConnectionLost(content, kService, now);
  EXPECT_TRUE(detector.OnTimer(now + 1s).mDismissed.empty());
  EXPECT_EQ(detector.OnTimer(now + 1min).mDismissed.size(), 1U);
}

} // namespace
} // namespace monsooncroft::once
