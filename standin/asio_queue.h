/**
 * @file asio_queue.h
 * The queue over a Boost.Asio strand; for the .cpp files that use Asio itself.
 */
#ifndef MONSOONCROFT_STANDIN_ASIO_QUEUE_H
#define MONSOONCROFT_STANDIN_ASIO_QUEUE_H

#include "standin/event_loop.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>

namespace monsooncroft::standin {

/** A strand as a queue. */
class asio_queue : public serial_queue
{
public:
  explicit asio_queue(boost::asio::io_context& aContext);

  void Post(std::function<void()> aTask) override;
  void After(model::duration aDelay, std::function<void()> aTask) override;

  /** The strand, for sockets whose handlers belong to this queue. */
  const boost::asio::any_io_executor& Executor() const { return mExecutor; }

private:
  boost::asio::any_io_executor mExecutor;
};

} // namespace monsooncroft::standin

#endif
