/**
 * @file fake_leaf.h
 * A leaf on loopback whose answers are written by the test, byte by byte.
 */
#ifndef MONSOONCROFT_TEST_GATEWAY_FAKE_LEAF_H
#define MONSOONCROFT_TEST_GATEWAY_FAKE_LEAF_H

#include "gateway/http_reader_base.h"
#include "gateway/stream_handler_base.h"
#include "gateway/tcp_listener_base.h"
#include "gateway/tcp_stream_base.h"
#include "model/endpoint_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::gateway {

/** Listens on a free port; passes each complete request to a function. */
class fake_leaf
{
public:
  /** One accepted connection. */
  class connection : public stream_handler
  {
  public:
    connection(fake_leaf& aLeaf, std::unique_ptr<tcp_stream> aStream)
      : mLeaf(aLeaf)
      , mStream(std::move(aStream))
      , mReader(http_reader::role::Requests)
    {
      mStream->SetHandler(*this);
      mStream->StartReading();
    }
    void OnConnected(bool /*aSuccess*/) override {}
    void OnBytes(std::string_view aBytes) override
    {
      while (!aBytes.empty()) {
        aBytes.remove_prefix(mReader.Feed(aBytes));
        if (mReader.State() != http_reader::state::Complete) {
          return;
        }
        const http_message request = std::move(mReader.Message());
        mReader.NextMessage();
        ++mLeaf.mRequests;
        mLeaf.mOnRequest(*this, request);
        if (!mStream) {
          return;
        }
      }
    }
    void OnEnd(stream_end /*aEnd*/) override { mStream.reset(); }
    void Write(std::string aBytes)
    {
      if (mStream) {
        mStream->Write(std::move(aBytes));
      }
    }
    void Close() { mStream.reset(); }
    /** Ends the connection in order, as a leaf does with an idle one. */
    void ShutDown()
    {
      if (mStream) {
        mStream->ShutDown();
      }
    }
    bool Ended() const { return !mStream; }
    void Reset()
    {
      if (mStream) {
        mStream->ResetOnClose();
        mStream.reset();
      }
    }

  private:
    fake_leaf& mLeaf;
    std::unique_ptr<tcp_stream> mStream;
    http_reader mReader;
  };
  using on_request = std::function<void(connection&, const http_message&)>;

  fake_leaf(event_loop& aLoop, const ops::log& aLog, on_request aOnRequest)
    : mOnRequest(std::move(aOnRequest))
    , mListener(std::make_unique<tcp_listener>(
        aLoop,
        model::endpoint{ "127.0.0.1", 0 },
        kBacklog,
        [this](std::unique_ptr<tcp_stream> aStream) {
          mConnections.push_back(
            std::make_unique<connection>(*this, std::move(aStream)));
        },
        aLog))
  {
  }
  fake_leaf(const fake_leaf&) = delete;
  fake_leaf& operator=(const fake_leaf&) = delete;
  fake_leaf(fake_leaf&&) = delete;
  fake_leaf& operator=(fake_leaf&&) = delete;

  /** Stops listening, so that further connections are refused. */
  void Stop() { mListener.reset(); }
  model::endpoint Address() const { return mListener->Address(); }

  int mRequests = 0;
  on_request mOnRequest;
  std::vector<std::unique_ptr<connection>> mConnections;

private:
  static constexpr int kBacklog = 64;

  std::unique_ptr<tcp_listener> mListener;
};

} // namespace monsooncroft::gateway

#endif
