/**
 * @file event_loop.cpp
 * The loop over a Boost.Asio context.
 */
#include "standin/event_loop.h"
#include "standin/asio_queue.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <csignal>
#include <thread>
#include <vector>

namespace monsooncroft::standin {

namespace asio = boost::asio;

asio_queue::asio_queue(asio::io_context& aContext)
  : mExecutor(asio::make_strand(aContext))
{
}

void
asio_queue::Post(std::function<void()> aTask)
{
  asio::post(mExecutor, std::move(aTask));
}

void
asio_queue::After(model::duration aDelay, std::function<void()> aTask)
{
  auto timer = std::make_shared<asio::steady_timer>(mExecutor, aDelay);
  timer->async_wait(
    [timer, task = std::move(aTask)](const boost::system::error_code& aError) {
      if (!aError) {
        task();
      }
    });
}

namespace {

class asio_loop : public event_loop
{
public:
  std::shared_ptr<serial_queue> NewQueue() override
  {
    return std::make_shared<asio_queue>(mContext);
  }

  void Run(int aThreads) override
  {
    asio::signal_set signals(mContext, SIGTERM, SIGINT);
    signals.async_wait(
      [this](const boost::system::error_code&, int) { mContext.stop(); });
    std::vector<std::thread> threads;
    for (int extra = 1; extra < aThreads; ++extra) {
      threads.emplace_back([this] { mContext.run(); });
    }
    mContext.run();
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

private:
  asio::io_context mContext;
};

} // namespace

std::unique_ptr<event_loop>
event_loop::Create()
{
  return std::make_unique<asio_loop>();
}

model::instant
Now()
{
  return std::chrono::time_point_cast<model::duration>(
    std::chrono::steady_clock::now());
}

} // namespace monsooncroft::standin
