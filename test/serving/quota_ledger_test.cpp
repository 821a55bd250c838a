/**
 * @file quota_ledger_test.cpp
 * The ledger of a quota group, and what an instance knows of it.
 */
#include "serving/quota_gate_base.h"
#include "serving/quota_ledger_base.h"
#include "serving/quota_margin_func.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace monsooncroft::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::instant kStart{ seconds(100) };
const quota_settings kSettings{ milliseconds(5'000), 0.1, 20 };
constexpr workspace_hash kWorkspace = 2;
constexpr quota_limit kLimit{ 10, 10 };

quota_item
Item(std::uint64_t aTotal, std::uint32_t aUnconfirmed, std::uint32_t aAsked)
{
  return { kWorkspace, aTotal, aUnconfirmed, aAsked, kLimit };
}

class quota_ledger_test : public testing::Test
{
protected:
  quota_decision Decide(std::uint64_t aSender,
                        const quota_item& aItem,
                        model::duration aAt = model::duration(0))
  {
    return mLedger.Decide(aSender, aItem, {}, kStart + aAt);
  }

  quota_ledger mLedger{ kSettings };
};

/** A repeated report was charged twice, or a lost one never. */
TEST_F(quota_ledger_test, ReportsAreChargedOnceWhateverTheNetworkDoes)
{
  const double full = Decide(1, Item(5, 1, 0)).mLevel;
  EXPECT_EQ(Decide(1, Item(5, 1, 0)).mLevel, full);     // Duplicate.
  EXPECT_EQ(Decide(1, Item(7, 2, 0)).mLevel, full - 2); // The one of 6 is lost.
  EXPECT_EQ(Decide(1, Item(6, 1, 0)).mLevel, full - 2); // It was only late.
  // Admissions that were charged elsewhere meanwhile.
  EXPECT_EQ(Decide(1, Item(90, 1, 0)).mLevel, full - 3);
  // Another process.
  EXPECT_EQ(Decide(2, Item(3, 1, 0)).mLevel, full - 4);
}

/** A granted request was charged again when it was reported. */
TEST_F(quota_ledger_test, GrantsAreChargedOnce)
{
  const double full = Decide(1, Item(5, 0, 0)).mLevel;
  EXPECT_EQ(Decide(1, Item(5, 0, 1)).mLevel, full - 1);
  EXPECT_EQ(Decide(1, Item(6, 1, 0)).mLevel, full - 1);
  // A grant whose reply was lost does not pay for a later admission.
  EXPECT_EQ(Decide(1, Item(6, 0, 1)).mLevel, full - 2);
  const double later = Decide(1, Item(6, 0, 0), seconds(20)).mLevel;
  EXPECT_EQ(Decide(1, Item(7, 1, 0), seconds(20)).mLevel, later - 1);
}

/** Admissions that are reported after the fact are repaid before any grant. */
TEST_F(quota_ledger_test, DebtIsRepaid)
{
  Decide(1, Item(40, 40, 0));
  const quota_decision refused = Decide(1, Item(40, 0, 2));
  EXPECT_EQ(refused.mGranted, 0U);
  EXPECT_TRUE(refused.mRestricted);
  EXPECT_LT(refused.mLevel, -20);
  EXPECT_GE(refused.mRetryAfter, milliseconds(2'000));
  EXPECT_EQ(Decide(1, Item(40, 0, 1), refused.mRetryAfter).mGranted, 1U);
}

/** All callers were told the same time, and most were refused again. */
TEST_F(quota_ledger_test, RefusedCallersReturnOneAfterTheOther)
{
  Decide(1, Item(12, 12, 0));
  std::vector<milliseconds> delays;
  for (std::uint64_t sender = 1; sender <= 40; ++sender) {
    delays.push_back(Decide(sender, Item(12, 0, 1)).mRetryAfter);
  }
  EXPECT_TRUE(std::is_sorted(delays.begin(), delays.end()));
  EXPECT_GE(delays[10] - delays[0], milliseconds(950));
  EXPECT_LE(delays.back(), seconds(3));
}

TEST_F(quota_ledger_test, RaisedLimitHelpsAtOnceAndLoweredOneBinds)
{
  Decide(1, Item(30, 30, 0));
  mLedger.SetLimits({ { kWorkspace, { 100, 100 } } });
  EXPECT_GT(Decide(1, Item(30, 0, 0)).mLevel, 70);
  mLedger.SetLimits({ { kWorkspace, { 1, 1 } } });
  const double capacity = 1 + MarginOf({ 1, 1 }, kSettings).mAllowance;
  EXPECT_LE(Decide(1, Item(30, 0, 0)).mLevel, capacity);
  mLedger.SetLimits({ { kWorkspace, { 0, 0 } } });
  EXPECT_EQ(Decide(1, Item(30, 0, 500)).mGranted, 500U);
}

/** While an issuer's configuration lacks a workspace, instances of different
 * versions of the configuration filled the bucket in turn. */
TEST_F(quota_ledger_test, LimitsThatSendersDisagreeOnAddNothing)
{
  quota_item high = Item(0, 0, 1'000);
  high.mLimit = { 10, 200 };
  std::uint32_t granted = Decide(1, high).mGranted;
  for (int round = 0; round < 10; ++round) {
    granted += Decide(1, Item(0, 0, 1'000)).mGranted;
    granted += Decide(1, high).mGranted;
  }
  EXPECT_LE(granted, 205U);
}

/** The changes show when all instances must be told, without flapping. */
TEST_F(quota_ledger_test, RestrictedBelowOneLevelAndOpenAboveAnother)
{
  Decide(1, Item(0, 0, 0));
  EXPECT_TRUE(mLedger.Update(1, kStart).empty());
  Decide(1, Item(8, 8, 0));
  const auto changes = mLedger.Update(1, kStart);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_TRUE(changes.front().mRestricted);
  EXPECT_EQ(mLedger.Restricted(), std::vector<workspace_hash>{ kWorkspace });
  EXPECT_TRUE(mLedger.Update(1, kStart + milliseconds(200)).empty());
  const auto back = mLedger.Update(1, kStart + seconds(1));
  ASSERT_EQ(back.size(), 1U);
  EXPECT_FALSE(back.front().mRestricted);
}

/** A new issuer had a full bucket, whatever its predecessor had issued. */
TEST_F(quota_ledger_test, NewIssuerStartsWithPartOfTheMargin)
{
  const double start = MarginOf(kLimit, kSettings).mStart;
  mLedger.Begin(true, 1, kStart);
  EXPECT_EQ(Decide(1, Item(0, 0, 0)).mLevel, start);
  EXPECT_GT(Decide(1, Item(0, 0, 0), seconds(2)).mLevel, start);
  mLedger.Begin(false, 1, kStart + seconds(2));
  EXPECT_EQ(Decide(1, Item(0, 0, 0), seconds(2)).mLevel, start);
}

class quota_gate_test : public testing::Test
{
protected:
  void Notice(std::uint64_t aNumber,
              std::vector<workspace_hash> aRestricted,
              model::instant aNow)
  {
    mGate.OnNotice(
      { 0, aNumber, true, std::move(aRestricted) }, { "10.0.0.1", 7 }, aNow);
  }

  quota_gate mGate{ kSettings, 1 };
};

TEST_F(quota_gate_test, AdmitsAtOnceOnlyWhileTheIssuerIsHeard)
{
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Ask);
  Notice(1, {}, kStart);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Admit);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart + seconds(1)), quota_way::Ask);
  Notice(2, { kWorkspace }, kStart);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Ask);
  Notice(1, {}, kStart); // Overtaken by the later one.
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Ask);
  Notice(3, {}, kStart);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Admit);
  mGate.OnGap();
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Ask);
}

/** An instance whose datagrams are lost went on as long as it heard notices. */
TEST_F(quota_gate_test, UnconfirmedAdmissionsAreBounded)
{
  Notice(1, {}, kStart);
  mGate.OnAdmitted(kWorkspace, kStart);
  mGate.OnAdmitted(kWorkspace, kStart);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Ask);
  EXPECT_EQ(mGate.Report(kWorkspace, kStart).mUnconfirmed, 2U);
  mGate.OnConfirmed(kWorkspace, 1);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Admit);
  mGate.OnSilence(0, kStart);
  Notice(2, {}, kStart);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Ask);
  mGate.OnReply(0);
  EXPECT_EQ(mGate.Choose(kWorkspace, kStart), quota_way::Admit);
}

/** Full tokens of all instances were a burst each time an issuer was lost. */
TEST_F(quota_gate_test, OwnShareIsNotSavedUp)
{
  constexpr std::size_t kInstances = 89;
  int admitted = 0;
  for (std::size_t index = 0; index < kInstances; ++index) {
    quota_gate gate(kSettings, index);
    for (int failure = 0; failure < 5; ++failure) {
      const model::instant at = kStart + failure * seconds(60);
      gate.OnSilence(0, at);
      for (int step = 0; step < 20; ++step) {
        const auto outcome = gate.DecideByOwnShare(
          kWorkspace, kLimit, kInstances, at + step * milliseconds(100));
        admitted += outcome.mAdmitted ? 1 : 0;
      }
      gate.OnReply(0);
    }
  }
  const double rate = MarginOf(kLimit, kSettings).mOverlapPerSecond;
  EXPECT_LE(admitted, 5 * (2 * rate + 3));
  EXPECT_GE(admitted, 5 * rate);
}

} // namespace
} // namespace monsooncroft::serving
