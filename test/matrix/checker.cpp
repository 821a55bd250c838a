/**
 * @file checker.cpp
 * What holds whatever goes wrong.
 */
#include "matrix/evidence_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace monsooncroft::test {

namespace {

using namespace std::chrono_literals;
using model::status;

constexpr model::duration kAnswerSlack = 2ms;

class checker
{
public:
  explicit checker(const evidence& aEvidence)
    : mEvidence(aEvidence)
  {
  }

  std::vector<std::string> Run()
  {
    for (std::size_t i = 0; i < mEvidence.mSends.size(); ++i) {
      CheckSend(i);
    }
    CheckOnce();
    Demand(mEvidence.mWorkWhileLeaving == 0, "new work for a leaving leaf");
    Demand(mEvidence.mKilled <= mEvidence.mMostKilled,
           "a request killed " + std::to_string(mEvidence.mKilled) + " leaves");
    CheckHeads();
    for (const applied_change& change : mEvidence.mChanges) {
      CheckChange(change);
    }
    for (const auto& [id, versions] : mEvidence.mAdopted) {
      Demand(std::is_sorted(versions.begin(), versions.end()),
             id + " went back to a lower manifest");
    }
    Demand(mEvidence.mInForceEverywhere, "newest manifest not in force");
    return std::move(mFaults);
  }

private:
  void Demand(bool aTrue, const std::string& aWhat)
  {
    if (!aTrue) {
      mFaults.push_back(aWhat);
    }
  }

  void CheckSend(std::size_t aIndex)
  {
    const sent_query& sent = mEvidence.mSends[aIndex];
    const std::string name =
      sent.mRequest.Value() + " send " + std::to_string(aIndex);
    Demand(sent.mAnswers.size() <= 1, name + ": several final statuses");
    Demand(sent.mDisturbed || sent.mAnswers.size() == 1,
           name + ": no final status");
    for (const given_answer& given : sent.mAnswers) {
      Demand(sent.mDisturbed || given.mAt <= sent.mDeadline + kAnswerSlack,
             name + ": late");
      CheckStatus(name, aIndex, given);
      CheckResults(name, given.mAnswer);
    }
  }

  void CheckStatus(const std::string& aName,
                   std::size_t aIndex,
                   const given_answer& aGiven)
  {
    const sent_query& sent = mEvidence.mSends[aIndex];
    const model::answer& answer = aGiven.mAnswer;
    Demand(answer.mRequest == sent.mRequest, aName + ": another's answer");
    Demand(answer.mStatus !=
             (sent.mIdempotent ? status::Unknown : status::Failed),
           aName + ": status of the other kind");
    if (answer.mStatus != status::NotRun) {
      return;
    }
    for (const execution& run : mEvidence.mExecutions) {
      // A send made after the answer may run; it is a new try.
      const bool covered = sent.mIdempotent
                             ? run.mSend == aIndex
                             : mEvidence.mSends[run.mSend].mAt <= aGiven.mAt;
      Demand(run.mRequest != sent.mRequest || !covered,
             aName + ": not_run (" + answer.mReason + "), but ran");
    }
  }

  void CheckResults(const std::string& aName, const model::answer& aAnswer)
  {
    std::set<model::shard_id> answered;
    const auto results = nlohmann::json::parse(aAnswer.mResults);
    for (const auto& entry : results) {
      const std::string text = entry.get<std::string>();
      const auto ran =
        std::find_if(mEvidence.mExecutions.begin(),
                     mEvidence.mExecutions.end(),
                     [&](const execution& aRun) { return aRun.mText == text; });
      if (ran == mEvidence.mExecutions.end()) {
        Demand(false, aName + ": a result that nobody computed: " + text);
        continue;
      }
      const std::string snapshot =
        "|" + std::to_string(aAnswer.mSnapshot) + "|";
      Demand(text.find(snapshot) != std::string::npos,
             aName + ": another snapshot: " + text);
      Demand(ran->mRequest == aAnswer.mRequest,
             aName + ": result of another request: " + text);
      Demand(answered.insert(ran->mShard).second,
             aName + ": a shard counted twice: " + text);
    }
    CheckCoverage(aName, aAnswer, answered);
  }

  void CheckCoverage(const std::string& aName,
                     const model::answer& aAnswer,
                     const std::set<model::shard_id>& aAnswered)
  {
    const auto manifest = std::find_if(
      mEvidence.mManifests.begin(),
      mEvidence.mManifests.end(),
      [&](const auto& aOne) { return aOne->Version() == aAnswer.mManifest; });
    if (manifest == mEvidence.mManifests.end()) {
      Demand(false, aName + ": unknown manifest");
      return;
    }
    const model::service& service = (*manifest)->Services()[0];
    std::vector<model::coverage_name> missing;
    int total = 0;
    for (const model::shard& shard : service.mShards) {
      total += static_cast<int>(shard.mCoverageNames.size());
      if (aAnswered.count(shard.mId) == 0) {
        missing.insert(missing.end(),
                       shard.mCoverageNames.begin(),
                       shard.mCoverageNames.end());
      }
    }
    std::sort(missing.begin(), missing.end());
    Demand(aAnswer.mCoverage.mMissing == missing, aName + ": wrong missing");
    Demand(aAnswer.mCoverage.mTotal == total, aName + ": wrong total");
    Demand((aAnswer.mStatus == status::Complete) == missing.empty(),
           aName + ": complete or not");
    const double least = service.mContracts[0].mLeastCoverage;
    Demand(aAnswer.mStatus != status::Partial ||
             aAnswer.mCoverage.Fraction() >= least,
           aName + ": partial below the contract's least");
  }

  void CheckOnce()
  {
    std::map<std::pair<model::request_id, model::shard_id>, int> runs;
    for (const execution& run : mEvidence.mExecutions) {
      const int times = ++runs[{ run.mRequest, run.mShard }];
      Demand(mEvidence.mSends[run.mSend].mIdempotent || times <= 1,
             run.mRequest.Value() + " ran twice on " + run.mShard.Value());
    }
  }

  void CheckHeads()
  {
    for (std::size_t i = 1; i < mEvidence.mHeads.size(); ++i) {
      Demand(mEvidence.mHeads[i].mVersion ==
               mEvidence.mHeads[i - 1].mVersion + 1,
             "a head skips or repeats a version");
    }
  }

  void CheckChange(const applied_change& aChange)
  {
    using store::apply_end;
    int accepted = 0;
    model::manifest_version version = 0;
    for (const store::head& head : mEvidence.mHeads) {
      const bool own = head.mChange == aChange.mChange;
      accepted += own ? 1 : 0;
      version = own ? head.mVersion : version;
    }
    const std::string name = aChange.mChange.Value();
    Demand(accepted <= 1, name + " took effect twice");
    if (!aChange.mVerdict) {
      return;
    }
    const apply_end end = aChange.mVerdict->mEnd;
    Demand(end != apply_end::Accepted ||
             (accepted == 1 && version == aChange.mVerdict->mVersion),
           name + ": accepted, but the store says otherwise");
    Demand(accepted == 0 || end == apply_end::Accepted ||
             end == apply_end::Unknown,
           name + ": refused, but took effect");
  }

  const evidence& mEvidence;
  std::vector<std::string> mFaults;
};

} // namespace

std::vector<std::string>
CheckInvariants(const evidence& aEvidence)
{
  return checker(aEvidence).Run();
}

} // namespace monsooncroft::test
