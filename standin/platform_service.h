/**
 * @file platform_service.h
 * The platform's calls, with the faults that a test asks for.
 */
#ifndef MONSOONCROFT_STANDIN_PLATFORM_SERVICE_H
#define MONSOONCROFT_STANDIN_PLATFORM_SERVICE_H

#include "standin/call_rates.h"
#include "standin/http_listener.h"
#include "standin/kv_store.h"

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace monsooncroft::standin {

class serial_queue;

/** How calls fail without being carried out. */
enum class outage
{
  None,
  Unavailable, ///< Answered 503.
  Close,       ///< The connection is closed.
  Hang,        ///< Never answered.
};

/** The faults in force. */
struct platform_fault
{
  outage mDown = outage::None;
  model::duration mSlow{};            ///< Before a call takes effect.
  int mLoseAnswers = 0;               ///< This many writes lose their answer.
  outage mLost = outage::Unavailable; ///< What a lost answer looks like.
  std::size_t mStaleReads = 0;        ///< Changes that reads lag behind.
  bool mWatchBroken = false;          ///< Watches only time out.
  double mWritesPerSecond = 0;        ///< Limit; 0: none.
  double mReadsPerSecond = 0;         ///< Limit; 0: none.
};

/** Answers the /v1 and /control calls. Runs on one queue. */
class platform_service : public request_handler
{
public:
  /**
   * @param aQueue The listener's queue; outlives the service.
   * @param aInstances The instance list, a JSON array.
   */
  platform_service(serial_queue& aQueue, nlohmann::json aInstances);

  void Handle(const net::http_request& aRequest,
              reply_callback aReply) override;

  /** Ends leases that have run out and does so again, for good. */
  void KeepExpiring();

private:
  struct watcher
  {
    std::uint64_t mId = 0;
    revision mAfter = 0;
    reply_callback mReply;
  };

  void HandleCall(const net::http_request& aRequest,
                  const reply_callback& aReply);
  void Carry(const net::http_request& aRequest, const reply_callback& aReply);
  void Answer(const std::string& aCall,
              const nlohmann::json& aBody,
              const reply_callback& aReply);
  void Cas(const nlohmann::json& aBody, const reply_callback& aReply);
  void Delete(const nlohmann::json& aBody, const reply_callback& aReply);
  void Watch(const nlohmann::json& aBody, const reply_callback& aReply);
  void EndWatch(const std::string& aKey, std::uint64_t aId);
  void Revoke(const nlohmann::json& aBody, const reply_callback& aReply);
  void OnChanged(const std::string& aKey);
  bool HasChanged(const std::string& aKey, revision aAfter) const;
  kv_value Read(const std::string& aKey) const;

  void HandleControl(const net::http_request& aRequest,
                     const reply_callback& aReply);
  void SetInstances(const nlohmann::json& aBody);
  void SetFault(const nlohmann::json& aBody);
  void FailWatchers();
  nlohmann::json Stats() const;

  serial_queue& mQueue;
  nlohmann::json mInstances;
  kv_store mStore;
  platform_fault mFault;
  std::map<std::string, std::list<watcher>> mWatchers; ///< By key.
  std::uint64_t mNextWatcher = 1;
  std::map<std::string, std::uint64_t> mCounts; ///< Calls by kind.
  call_rates mReads;
  call_rates mWrites;
};

} // namespace monsooncroft::standin

#endif
