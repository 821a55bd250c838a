/**
 * @file once_service_base.h
 * Requests that run at most once: their home, their record, their memory.
 */
#ifndef MONSOONCROFT_ENTRY_ONCE_SERVICE_BASE_H
#define MONSOONCROFT_ENTRY_ONCE_SERVICE_BASE_H

#include "entry/record_driver_base.h"
#include "entry/root_service_base.h"
#include "model/answer_type.h"
#include "net/http_type.h"
#include "once/answer_cache_base.h"

#include <condition_variable>
#include <map>
#include <vector>

namespace monsooncroft::net {
class http_pool;
}

namespace monsooncroft::entry {

class manifest_table;
class trial_service;

/** What the service uses; all outlives it. */
struct once_parts
{
  trial_service& mTrials;
  manifest_table& mManifests;
  net::http_pool& mPool;
  record_parts mRecord;
  once::incarnation mSelf;
  model::data_centre_id mDataCentre;
};

/** The home's part of such requests. Thread safe; lock rank Record. */
class once_service
{
public:
  once_service(const once_parts& aParts,
               const once::record_settings& aSettings);

  /**
   * Answers a caller's request through its home instance. Blocks.
   * @param aQuery The request.
   * @param aContract Its terms.
   * @param aArrived When it came.
   */
  model::answer Answer(const model::query& aQuery,
                       const model::contract& aContract,
                       model::instant aArrived);

  /** Answers a request as its home. Blocks. */
  model::answer RunHere(const model::query& aQuery,
                        const model::contract& aContract,
                        model::instant aArrived);

private:
  model::answer Forward(const model::query& aQuery,
                        const model::contract& aContract,
                        const cluster::member& aHome,
                        model::instant aArrived);
  model::answer RunFirst(const model::query& aQuery,
                         const model::contract& aContract,
                         model::instant aArrived);
  model::answer Dispatch(const model::query& aQuery,
                         const once::send_permit& aPermit,
                         model::instant aArrived);
  once::verdict Record(const model::query& aQuery, model::instant aGiveUpAt);
  /** A run under way; its answer once it has one. */
  using running = std::shared_ptr<std::optional<model::answer>>;

  model::answer AwaitRunning(const model::query& aQuery,
                             const running& aRun,
                             model::instant aDeadline);
  model::answer AnswerOf(const model::query& aQuery,
                         const once::verdict& aVerdict) const;
  model::answer Unknown(const model::query& aQuery, const char* aReason) const;
  std::shared_ptr<record_driver> Bucket(const once::request_hash& aRequest);
  cluster::member HomeOf(const model::query& aQuery) const;

  once_parts mParts;
  once::record_settings mSettings;
  std::vector<std::shared_ptr<record_driver>> mBuckets;
  ranked_mutex mMutex{ lock_rank::Record };
  std::condition_variable_any mFinished; ///< Some request has its answer.
  once::answer_cache mMemory;
  std::map<once::request_hash, running> mRunning;
};

} // namespace monsooncroft::entry

#endif
