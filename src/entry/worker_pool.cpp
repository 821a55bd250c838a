/**
 * @file worker_pool.cpp
 * The pool over Boost.Asio's.
 */
#include "entry/worker_pool_base.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <utility>

namespace monsooncroft::entry {

namespace {

class asio_pool : public worker_pool
{
public:
  explicit asio_pool(unsigned aThreads)
    : mPool(aThreads)
  {
  }

  ~asio_pool() override { asio_pool::Stop(); }

  asio_pool(const asio_pool&) = delete;
  asio_pool& operator=(const asio_pool&) = delete;
  asio_pool(asio_pool&&) = delete;
  asio_pool& operator=(asio_pool&&) = delete;

  void Post(std::function<void()> aTask) override
  {
    boost::asio::post(mPool, std::move(aTask));
  }

  void Stop() override
  {
    mPool.stop();
    mPool.join();
  }

private:
  boost::asio::thread_pool mPool;
};

} // namespace

std::unique_ptr<worker_pool>
worker_pool::Create(unsigned aThreads)
{
  return std::make_unique<asio_pool>(aThreads);
}

} // namespace monsooncroft::entry
