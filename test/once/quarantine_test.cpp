/**
 * @file quarantine_test.cpp
 * Two leaves lost for each killing request, the others answered; and marks
 * that merge alike in any order.
 */
#include "once/death_watch_base.h"
#include "once/killing_fleet.h"

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
fleet_end
Worst(fleet_options aOptions)
{
  fleet_end worst;
  worst.mAnswered = aOptions.mInnocents;
  for (aOptions.mSeed = 0; aOptions.mSeed < kSeeds; ++aOptions.mSeed) {
    const fleet_end end = killing_fleet(aOptions).Run();
    worst.mDeaths = std::max(worst.mDeaths, end.mDeaths);
    worst.mAnswered = std::min(worst.mAnswered, end.mAnswered);
    worst.mRefused = std::max(worst.mRefused, end.mRefused);
  }
  std::cout << "deaths " << worst.mDeaths << ", innocents answered "
            << worst.mAnswered << " refused " << worst.mRefused << '\n';
  return worst;
}

TEST(killing_fleet, one_caller_costs_two_leaves_and_nobody_else_an_answer)
{
  const fleet_end worst = Worst({});
  EXPECT_EQ(worst.mDeaths, 2);
  EXPECT_EQ(worst.mAnswered, 6);
}

TEST(killing_fleet, copies_in_flight_at_once_cost_no_more_than_their_number)
{
  fleet_options options;
  options.mKillers = 4;
  EXPECT_LE(Worst(options).mDeaths, 4);
}

TEST(killing_fleet, screening_keeps_two_whatever_the_number_of_copies)
{
  fleet_options options;
  options.mKillers = 4;
  options.mScreening = screening::Always;
  const fleet_end worst = Worst(options);
  EXPECT_EQ(worst.mDeaths, 2);
  EXPECT_EQ(worst.mAnswered, 6);
}

TEST(killing_fleet, several_killing_requests_cost_two_leaves_each)
{
  fleet_options options;
  options.mKillers = 4;
  options.mDistinct = true;
  const fleet_end worst = Worst(options);
  EXPECT_EQ(worst.mDeaths, 8);
  EXPECT_EQ(worst.mAnswered, 6) << "a suspect on trial shares no leaf";
}

TEST(killing_fleet, marks_spread_after_the_answer_do_not_keep_the_bound)
{
  fleet_options options;
  options.mSpreadFirst = false;
  EXPECT_GT(Worst(options).mDeaths, 2);
}

std::vector<death_mark>
Marks(const std::vector<std::uint8_t>& aNumbers)
{
  std::vector<death_mark> out;
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
  for (const death_mark& mark : marks) {
    first.Merge(mark, now);
  }
  std::shuffle(marks.begin(), marks.end(), std::mt19937(aSeed));
  for (std::size_t i = 0; i < marks.size(); ++i) {
    (i % 2 == 0 ? second : relay).Merge(marks[i], now);
    second.Merge(marks[i / 2], now);
  }
  for (const death_mark& mark : relay.Export(now)) {
    second.Merge(mark, now);
  }
  RC_ASSERT(first.Export(now) == second.Export(now));
}

TEST(quarantine, marks_are_bounded_expire_and_keep_their_names)
{
  quarantine_settings settings;
  settings.mMaxMarks = 2;
  quarantine table(settings);
  const model::wall_instant now;
  for (std::uint64_t number = 0; number < 9; ++number) {
    const auto mark = table.Confirm({ { 1, 1 }, { number, 1 }, kService }, now);
    EXPECT_EQ(ParseMarkName(NameOf(mark), kService), mark.mSuspicion);
  }
  EXPECT_EQ(table.Marks(), 2U);
  EXPECT_EQ(table.Admit({ 1, 1 }, kService, now), passage::Refused);
  EXPECT_EQ(table.Admit({ 1, 1 }, kService, now + 1h), passage::Free);
  table.OnTimer(now + 1h);
  EXPECT_EQ(table.Marks(), 0U);
  EXPECT_FALSE(ParseMarkName("12", kService));
}

TEST(quarantine, deaths_explained_by_another_request_leave_a_trial)
{
  quarantine table({});
  const model::wall_instant now;
  const content_hash killing{ 1, 1 };
  const content_hash innocent{ 2, 2 };
  for (std::uint64_t death = 0; death < 3; ++death) {
    table.Confirm({ killing, { death, 0 }, kService }, now);
    if (death < 2) {
      table.Confirm({ innocent, { death, 0 }, kService }, now);
    }
  }
  EXPECT_EQ(table.Admit(killing, kService, now), passage::Refused);
  EXPECT_EQ(table.Admit(innocent, kService, now), passage::Isolated);
  EXPECT_EQ(table.OnAnswered(innocent, true, now).size(), 2U);
  EXPECT_EQ(table.Admit(innocent, kService, now), passage::Free);
  EXPECT_EQ(table.Admit({ 3, 3 }, kService, now), passage::FirstAlone)
    << "a death at the service is remembered";
}

TEST(death_watch, only_a_refusal_or_another_boot_proves_a_death)
{
  const content_hash content{ 1, 1 };
  const model::instant now;
  death_watch watch(model::leaf_id("l"));
  watch.OnBoot("one");
  watch.OnConnectionDied(content, kService, now);
  EXPECT_EQ(watch.OnBoot("one").mDismissed.size(), 1U);
  const suspicion held = watch.OnConnectionDied(content, kService, now);
  EXPECT_EQ(watch.OnBoot("two").mConfirmed, std::vector{ held });
  watch.OnConnectionDied(content, kService, now);
  EXPECT_EQ(watch.OnRefused().mConfirmed.size(), 1U);
  watch.OnConnectionDied(content, kService, now);
  EXPECT_TRUE(watch.OnTimer(now + 1s).mDismissed.empty());
  EXPECT_EQ(watch.OnTimer(now + 1min).mDismissed.size(), 1U);
}

} // namespace
} // namespace monsooncroft::once
