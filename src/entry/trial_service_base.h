/**
 * @file trial_service_base.h
 * Runs queries as the quarantine allows: at once, in turn, or not at all.
 */
#ifndef MONSOONCROFT_ENTRY_TRIAL_SERVICE_BASE_H
#define MONSOONCROFT_ENTRY_TRIAL_SERVICE_BASE_H

#include "cluster/member_type.h"
#include "entry/root_service_base.h"
#include "once/quarantine_type.h"

#include <atomic>
#include <vector>

namespace monsooncroft::entry {

class quarantine_desk;

/** What the service uses; all outlives it. */
struct trial_parts
{
  net::http_connector& mTimers;
  net::http_pool& mPool;
  root_service& mRoot;
  quarantine_desk& mDesk;
  manifest_table& mManifests;
  model::instance_id mSelf;
  int mMostForwarded; ///< Queries run for other instances at one time.
};

/** In front of root_service. Thread safe. */
class trial_service
{
public:
  explicit trial_service(trial_parts aParts);

  /** Runs a query, here or at the home of its trial. Blocks. */
  model::answer Run(const model::query& aQuery, const run_terms& aTerms);

  /** Body of POST /peer/trial; the answer's JSON, empty for a bad one. */
  std::string RunForwarded(const std::string& aBody);

private:
  /** A query on its way, with what follows from it. */
  struct journey
  {
    model::query mQuery;
    run_terms mTerms;
    once::content_hash mContent;
    model::instant mDeadline;
    int mHops = 0; ///< Instances that handed it on.
    once::screening_permit mAtLeast =
      once::screening_permit::Unrestricted;     ///< As they judged it.
    std::vector<model::instance_id> mUnreached; ///< No home for it.
  };

  model::answer Go(const journey& aJourney);
  model::answer RunFree(const journey& aJourney);
  model::answer RunTrial(const journey& aJourney,
                         once::screening_permit aPassage,
                         const std::string& aKey);
  model::answer Forward(const journey& aJourney,
                        once::screening_permit aPassage,
                        const cluster::member& aHome);
  journey Start(const model::query& aQuery, const run_terms& aTerms) const;
  once::screening_permit Judge(const journey& aJourney) const;
  model::answer NotRun(const journey& aJourney, const char* aReason) const;
  void Leave(const std::string& aKey, const model::answer& aAnswer);

  trial_parts mParts;
  std::atomic<int> mForwarded{ 0 };
};

} // namespace monsooncroft::entry

#endif
