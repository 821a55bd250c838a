/**
 * @file quarantine_test.cpp
 * Two leaves lost for each killing request, the others answered; and marks
 * that merge alike in any order.
 */
#include "once/crash_detector_base.h"
#include "once/crash_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <iostream>

namespace monsooncroft::once {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kSeeds = 500;
const model::service_id kService("s");

/** The worst of many runs. */
crash_simulation_result
Worst(crash_simulation_options aOptions)
{
  crash_simulation_result worst;
  worst.mAnswered = aOptions.mHarmless;
  for (aOptions.mSeed = 0; aOptions.mSeed < kSeeds; ++aOptions.mSeed) {
    const crash_simulation_result end = crash_simulation(aOptions).Run();
    worst.mCrashes = std::max(worst.mCrashes, end.mCrashes);
    worst.mAnswered = std::min(worst.mAnswered, end.mAnswered);
    worst.mRefused = std::max(worst.mRefused, end.mRefused);
  }
  std::cout << "deaths " << worst.mCrashes << ", innocents answered "
            << worst.mAnswered << " refused " << worst.mRefused << '\n';
  return worst;
}

TEST(killing_fleet, one_caller_costs_two_leaves_and_nobody_else_an_answer)
{
  const crash_simulation_result worst = Worst({});
  EXPECT_EQ(worst.mCrashes, 2);
  EXPECT_EQ(worst.mAnswered, 6);
}

TEST(killing_fleet, copies_in_flight_at_once_cost_no_more_than_their_number)
{
  crash_simulation_options options;
  options.mCrashers = 4;
  EXPECT_LE(Worst(options).mCrashes, 4);
}

TEST(killing_fleet, screening_keeps_two_whatever_the_number_of_copies)
{
  crash_simulation_options options;
  options.mCrashers = 4;
  options.mScreening = screening_mode::Always;
  const crash_simulation_result worst = Worst(options);
  EXPECT_EQ(worst.mCrashes, 2);
  EXPECT_EQ(worst.mAnswered, 6);
}

TEST(killing_fleet, several_killing_requests_cost_two_leaves_each)
{
  crash_simulation_options options;
  options.mCrashers = 4;
  options.mDistinctCrashers = true;
  const crash_simulation_result worst = Worst(options);
  EXPECT_EQ(worst.mCrashes, 8);
  EXPECT_EQ(worst.mAnswered, 6) << "a suspect on trial shares no leaf";
}

TEST(killing_fleet, marks_spread_after_the_answer_do_not_keep_the_bound)
{
  crash_simulation_options options;
  options.mMarksBeforeAnswer = false;
  EXPECT_GT(Worst(options).mCrashes, 2);
}

std::vector<crash_mark>
Marks(const std::vector<std::uint8_t>& aNumbers)
{
  std::vector<crash_mark> out;
  for (const std::uint64_t number : aNumbers) {
    const suspicion which{ { number % 3, 0 }, { number % 5, 0 }, kService };
    const auto expires = model::wall_instant(1ms * (1 + number / 32));
    out.push_back({ which, (number & 16U) != 0, expires });
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

TEST(quarantine, deaths_explained_by_another_request_leave_a_trial)
{
  quarantine table({});
  const model::wall_instant now;
  const content_hash killing{ 1, 1 };
  const content_hash innocent{ 2, 2 };
  for (std::uint64_t death = 0; death < 3; ++death) {
    table.ConfirmSuspicion({ killing, { death, 0 }, kService }, now);
    if (death < 2) {
      table.ConfirmSuspicion({ innocent, { death, 0 }, kService }, now);
    }
  }
  EXPECT_EQ(table.Admit(killing, kService, now), screening_permit::Refused);
  EXPECT_EQ(table.Admit(innocent, kService, now), screening_permit::Isolated);
  EXPECT_EQ(table.OnAnswered(innocent, true, now).size(), 2U);
  EXPECT_EQ(table.Admit(innocent, kService, now),
            screening_permit::Unrestricted);
  EXPECT_EQ(table.Admit({ 3, 3 }, kService, now),
            screening_permit::FirstShardAlone)
    << "a death at the service is remembered";
}

TEST(death_watch, only_a_refusal_or_another_boot_proves_a_death)
{
  const content_hash content{ 1, 1 };
  const model::instant now;
  crash_detector watch(model::leaf_id("l"));
  watch.OnBootId("one");
  watch.OnConnectionLost(content, kService, now);
  EXPECT_EQ(watch.OnBootId("one").mDismissed.size(), 1U);
  const suspicion held = watch.OnConnectionLost(content, kService, now);
  EXPECT_EQ(watch.OnBootId("two").mConfirmed, std::vector{ held });
  watch.OnConnectionLost(content, kService, now);
  EXPECT_EQ(watch.OnConnectionRefused().mConfirmed.size(), 1U);
  watch.OnConnectionLost(content, kService, now);
  EXPECT_TRUE(watch.OnTimer(now + 1s).mDismissed.empty());
  EXPECT_EQ(watch.OnTimer(now + 1min).mDismissed.size(), 1U);
}

} // namespace
} // namespace monsooncroft::once
