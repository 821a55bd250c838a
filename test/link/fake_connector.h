/**
 * @file fake_connector.h
 * Fake connections whose exchanges the test ends.
 */
#ifndef MONSOONCROFT_TEST_LINK_FAKE_CONNECTOR_H
#define MONSOONCROFT_TEST_LINK_FAKE_CONNECTOR_H

#include "net/http_connection_base.h"
#include "net/http_connector_base.h"

#include <utility>
#include <vector>

namespace monsooncroft::link {

/** Records the requests sent on it. */
struct fake_connection : net::http_connection
{
  void Exchange(const net::http_request& aRequest,
                model::duration aTimeout,
                callback aDone) override
  {
    mSent.push_back(aRequest);
    mTimeout = aTimeout;
    mDone = std::move(aDone);
    mOpen = true;
  }
  void Close() override
  {
    mOpen = false;
    mClosed = true;
  }
  bool IsOpen() const override { return mOpen; }

  /** Ends the current exchange. */
  void End(net::send_state aState, net::exchange_error aError)
  {
    mOpen = mOpen && aError == net::exchange_error::None;
    std::exchange(mDone, nullptr)({ aState, aError, mResponse });
  }
  void Reply(int aStatus, std::string aBody)
  {
    mResponse.mStatus = aStatus;
    mResponse.mBody = std::move(aBody);
    End(net::send_state::Replied, net::exchange_error::None);
  }

  std::vector<net::http_request> mSent;
  net::http_response mResponse;
  model::duration mTimeout{};
  callback mDone;
  bool mOpen = false;
  bool mClosed = false;
};

/** Records every connection that it opened. */
struct fake_connector : net::http_connector
{
  std::shared_ptr<net::http_connection> Open(const model::endpoint&) override
  {
    mMade.push_back(std::make_shared<fake_connection>());
    return mMade.back();
  }
  void RunAfter(model::duration, std::function<void()>) override {}
  void Stop() override {}

  std::vector<std::shared_ptr<fake_connection>> mMade;
};

} // namespace monsooncroft::link

#endif
