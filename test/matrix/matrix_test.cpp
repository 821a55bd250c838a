/**
 * @file matrix_test.cpp
 * Every fault at every step, and one checker for all.
 */
#include "matrix/cell_type.h"
#include "matrix/change_world.h"
#include "matrix/query_world.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace monsooncroft::test {
namespace {

constexpr unsigned kQuerySeeds = 16; ///< For each kind of query.
constexpr unsigned kChangeSeeds = 4;
/** Each side of a cut, and copies that were hedged, have their own two. */
constexpr int kMostKilledOfPairs = 4;
constexpr unsigned kPairSeeds = 24; ///< For each pair of faults.

struct cell
{
  fault mFault;
  step mStep;
};

std::ostream&
operator<<(std::ostream& aOut, const cell& aCell)
{
  return aOut << ToString(aCell.mFault) << "_at_" << ToString(aCell.mStep);
}

/** Cells by how they ended; printed at the end. */
struct tally
{
  int mProved = 0;
  int mNotProved = 0;
  int mNotReachable = 0;
  int mRuns = 0;
};

tally&
Tally()
{
  static tally sTally;
  return sTally;
}

std::vector<cell>
Cells(bool aReachable)
{
  std::vector<cell> out;
  for (int f = 0; f < static_cast<int>(fault::End); ++f) {
    for (int s = 0; s < static_cast<int>(step::End); ++s) {
      const cell one{ static_cast<fault>(f), static_cast<step>(s) };
      if ((WhyNotReachable(one.mFault, one.mStep) == nullptr) == aReachable) {
        out.push_back(one);
      }
    }
  }
  return out;
}

/** Whether an idempotent query must be answered whole despite the fault. */
bool
MustComplete(const cell& aCell)
{
  switch (aCell.mFault) {
    case fault::ReplicaLost:
      // Lost with a request in flight, it is a suspect and not sent again.
      return aCell.mStep != step::Dispatch && aCell.mStep != step::Run &&
             aCell.mStep != step::Reply;
    case fault::DataCentreCut:
      return aCell.mStep == step::Merge || aCell.mStep == step::Answer;
    case fault::KillingRequest:
      return false;
    default:
      return true;
  }
}

void
CheckRun(const evidence& aEvidence, unsigned aSeed, bool aIdempotent)
{
  ++Tally().mRuns;
  for (const std::string& each : CheckInvariants(aEvidence)) {
    ADD_FAILURE() << "seed " << aSeed << (aIdempotent ? "" : ", once") << ": "
                  << each;
  }
}

bool
RunQueries(const cell& aCell)
{
  bool reached = false;
  for (unsigned seed = 1; seed <= kQuerySeeds; ++seed) {
    for (const bool idempotent : { true, false }) {
      query_world world({ aCell.mFault, aCell.mStep, idempotent, seed });
      world.Run();
      reached = reached || world.Reached();
      CheckRun(world.Evidence(), seed, idempotent);
      if (idempotent && world.Reached() && MustComplete(aCell)) {
        EXPECT_TRUE(world.Complete()) << "seed " << seed;
      }
    }
  }
  return reached;
}

bool
RunChanges(const cell& aCell)
{
  bool reached = false;
  for (unsigned seed = 1; seed <= kChangeSeeds; ++seed) {
    change_world world(aCell.mFault, aCell.mStep, seed);
    world.Run();
    reached = reached || world.Reached();
    CheckRun(world.Evidence(), seed, true);
  }
  return reached;
}

class matrix : public testing::TestWithParam<cell>
{};

TEST_P(matrix, holds)
{
  const cell studied = GetParam();
  const bool reached =
    studied.mStep < kFirstOfChange ? RunQueries(studied) : RunChanges(studied);
  EXPECT_TRUE(reached) << "the step was never reached";
  ++(HasFailure() ? Tally().mNotProved : Tally().mProved);
}

INSTANTIATE_TEST_SUITE_P(cells,
                         matrix,
                         testing::ValuesIn(Cells(true)),
                         [](const auto& aInfo) {
                           std::ostringstream name;
                           name << aInfo.param;
                           return name.str();
                         });

/** Each fault with each other one or itself, at steps drawn from a seed. */
TEST(two_faults, hold_in_every_pair)
{
  std::mt19937 random(1);
  const auto draw = [&] {
    return static_cast<step>(random() % static_cast<int>(kFirstOfChange));
  };
  for (int first = 0; first < static_cast<int>(fault::End); ++first) {
    for (int second = 0; second < static_cast<int>(fault::End); ++second) {
      for (unsigned seed = 1; seed <= kPairSeeds; ++seed) {
        query_cell studied;
        studied.mFault = static_cast<fault>(first);
        studied.mStep = draw();
        studied.mSecond = static_cast<fault>(second);
        studied.mSecondStep = draw();
        studied.mIdempotent = seed % 4 < 2;
        studied.mSeed = seed;
        query_world world(studied);
        world.Run();
        const cell one{ *studied.mFault, studied.mStep };
        const cell other{ *studied.mSecond, studied.mSecondStep };
        SCOPED_TRACE(testing::Message() << one << ", " << other);
        evidence seen = world.Evidence();
        seen.mMostKilled = kMostKilledOfPairs;
        CheckRun(seen, seed, studied.mIdempotent);
      }
    }
  }
}

TEST(without_fault, queries_complete_and_changes_are_accepted)
{
  for (unsigned seed = 1; seed <= kQuerySeeds; ++seed) {
    for (const bool idempotent : { true, false }) {
      query_world world({ {}, step::Answer, idempotent, seed });
      world.Run();
      EXPECT_TRUE(world.Reached());
      CheckRun(world.Evidence(), seed, idempotent);
      for (const sent_query& sent : world.Evidence().mSends) {
        const bool again = !idempotent && seed % 2 == 1;
        EXPECT_TRUE(again || sent.mAnswers[0].mAnswer.mStatus ==
                               model::status::Complete);
      }
    }
  }
  change_world world({}, step::Apply, 1);
  world.Run();
  CheckRun(world.Evidence(), 1, true);
  EXPECT_EQ(world.Evidence().mHeads.back().mVersion, 2U);
}

std::string
Table()
{
  std::ostringstream out;
  out << "| fault |";
  for (int s = 0; s < static_cast<int>(step::End); ++s) {
    out << ' ' << ToString(static_cast<step>(s)) << " |";
  }
  out << "\n|---|";
  for (int s = 0; s < static_cast<int>(step::End); ++s) {
    out << "---|";
  }
  out << '\n';
  for (int f = 0; f < static_cast<int>(fault::End); ++f) {
    out << "| " << ToString(static_cast<fault>(f)) << " |";
    for (int s = 0; s < static_cast<int>(step::End); ++s) {
      const bool reachable =
        WhyNotReachable(static_cast<fault>(f), static_cast<step>(s)) == nullptr;
      out << (reachable ? " proved |" : " - |");
    }
    out << '\n';
  }
  return out.str();
}

TEST(proof, page_has_this_table)
{
  std::ifstream file(MC_SOURCE_DIR "/docs/PROOF.md");
  std::ostringstream page;
  page << file.rdbuf();
  EXPECT_NE(page.str().find(Table()), std::string::npos) << Table();
  for (const cell& each : Cells(false)) {
    const std::string why = WhyNotReachable(each.mFault, each.mStep);
    EXPECT_NE(page.str().find(why), std::string::npos) << why;
  }
}

/** Prints the counts after the last test. */
class summary : public testing::Environment
{
public:
  void TearDown() override
  {
    const tally& all = Tally();
    std::cout << "fault matrix: " << all.mProved << " cells proved, "
              << Cells(false).size() << " not reachable, " << all.mNotProved
              << " not proved; " << all.mRuns << " runs\n";
  }
};

const auto* const kSummary =
  testing::AddGlobalTestEnvironment(new summary); // Owned by the library.

} // namespace
} // namespace monsooncroft::test
