/**
 * @file platform_client_base.h
 * The platform over HTTP.
 */
#ifndef MONSOONCROFT_STORE_PLATFORM_CLIENT_BASE_H
#define MONSOONCROFT_STORE_PLATFORM_CLIENT_BASE_H

#include "model/endpoint_type.h"
#include "store/call_budget_base.h"
#include "store/instance_list_base.h"
#include "store/key_value_service_base.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace monsooncroft::net {
class http_pool;
struct http_request;
struct exchange_result;
}

namespace monsooncroft::store {

/** How the platform is reached. */
struct platform_options
{
  std::vector<model::endpoint> mAddresses;    ///< Tried in turn; not empty.
  std::chrono::milliseconds mTimeout{ 1000 }; ///< For one call to one address.
  rate_share mShare;                          ///< This instance's share.
};

/** Calls so far, each address tried counted as one. */
struct platform_calls
{
  long mReads = 0;    ///< Gets, lists and watches.
  long mWrites = 0;   ///< Swaps, deletes and everything about leases.
  long mWithheld = 0; ///< Not made: this instance's share was used up.
  long mFailed = 0;   ///< Made, and not answered with 200.

  bool operator==(const platform_calls&) const = default;
};

/**
 * The platform's services over HTTP; see docs/PROTOCOLS.md. A read goes to the
 * next address when one fails. A write does so only while no byte has left:
 * sent twice it could find its own effect and report a conflict. Thread safe;
 * lock rank: innermost.
 */
class platform_client final
  : public key_value_service
  , public instance_list
{
public:
  using clock = std::function<model::instant()>;

  /**
   * @param aPool Connections; outlives this.
   * @param aOptions Addresses and limits.
   * @param aClock The present, for the budget.
   */
  platform_client(net::http_pool& aPool,
                  platform_options aOptions,
                  clock aClock);

  read_outcome Get(const std::string& aKey) override;
  write_outcome CompareAndSwap(const std::string& aKey,
                               revision aExpect,
                               const std::string& aValue,
                               const lease_id& aLease) override;
  write_outcome Delete(const std::string& aKey, revision aExpect) override;
  read_outcome Watch(const std::string& aKey,
                     revision aAfter,
                     std::chrono::milliseconds aWait) override;
  lease_outcome GrantLease(std::chrono::milliseconds aTimeToLive) override;
  write_outcome KeepAlive(const lease_id& aLease) override;
  write_outcome Revoke(const lease_id& aLease) override;
  instances_outcome List() override;

  platform_calls Calls() const; ///< For the status page.

private:
  struct reply;

  bool Take(call_kind aKind);
  void CountFailure(store_status aStatus);
  reply Read(const net::http_request& aRequest,
             std::chrono::milliseconds aTimeout);
  reply Write(const net::http_request& aRequest);
  write_outcome WriteKey(const net::http_request& aRequest);
  write_outcome WriteLease(const net::http_request& aRequest);
  read_outcome ReadKey(const net::http_request& aRequest,
                       std::chrono::milliseconds aTimeout);

  net::http_pool& mPool;     ///< Connections.
  platform_options mOptions; ///< As given.
  clock mClock;              ///< The present.
  mutable std::mutex mMutex; ///< Guards mBudget and mCalls; innermost.
  call_budget mBudget;       ///< What is left of the share.
  platform_calls mCalls;     ///< So far.
  std::atomic<std::size_t> mPreferred{ 0 }; ///< Address that last answered.
};

} // namespace monsooncroft::store

#endif
