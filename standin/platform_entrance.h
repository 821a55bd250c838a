/**
 * @file platform_entrance.h
 * One address of the platform, which a test can cut off from it.
 */
#ifndef MONSOONCROFT_STANDIN_PLATFORM_ENTRANCE_H
#define MONSOONCROFT_STANDIN_PLATFORM_ENTRANCE_H

#include "standin/http_listener.h"

#include <memory>
#include <string>

namespace monsooncroft::standin {

class platform_service;
class serial_queue;

/** An address as one data centre's way to the platform. On its queue. */
class platform_entrance : public request_handler
{
public:
  /**
   * @param aQueue The queue of the service.
   * @param aAddress Where it listens.
   * @param aService Answers; outlives this.
   */
  platform_entrance(const std::shared_ptr<serial_queue>& aQueue,
                    const model::endpoint& aAddress,
                    platform_service& aService);

  /** Starts listening. @throws net_error if the address cannot be bound. */
  void Open();

  void Handle(const net::http_request& aRequest,
              reply_callback aReply) override;

  /**
   * Cuts it off or joins it again, as a partition that drops packets would:
   * open connections stay silent for good, calls on new ones hang while cut.
   * Control calls go through all the same on new connections.
   */
  void SetCut(bool aCut);

  const std::string& Address() const { return mAddress; }

private:
  std::string mAddress;
  platform_service& mService;
  std::unique_ptr<http_listener> mListener;
  bool mCut = false;
};

} // namespace monsooncroft::standin

#endif
