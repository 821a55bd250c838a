/**
 * @file platform_entrance.cpp
 * Cutting an address off.
 */
#include "standin/platform_entrance.h"
#include "standin/platform_service.h"

namespace monsooncroft::standin {

platform_entrance::platform_entrance(
  const std::shared_ptr<serial_queue>& aQueue,
  const model::endpoint& aAddress,
  platform_service& aService)
  : mAddress(aAddress.ToString())
  , mService(aService)
  , mListener(http_listener::Create(aQueue, { .mAddress = aAddress }, *this))
{
}

void
platform_entrance::Open()
{
  mListener->Open();
}

void
platform_entrance::Handle(const net::http_request& aRequest,
                          reply_callback aReply)
{
  if (mCut && !aRequest.mTarget.starts_with("/control/")) {
    return;
  }
  mService.Handle(aRequest, std::move(aReply));
}

void
platform_entrance::SetCut(bool aCut)
{
  if (aCut && !mCut) {
    mListener->SilenceAll();
  }
  mCut = aCut;
}

} // namespace monsooncroft::standin
