/**
 * @file http_connector_base.h
 * Makes outgoing connections and runs their I/O threads.
 */
#ifndef MONSOONCROFT_NET_HTTP_CONNECTOR_BASE_H
#define MONSOONCROFT_NET_HTTP_CONNECTOR_BASE_H

#include "model/endpoint_type.h"
#include "model/time_type.h"

#include <functional>
#include <memory>

namespace monsooncroft::net {

class http_connection;

/** Source of connections and timers. Thread safe. */
class http_connector
{
public:
  virtual ~http_connector() = default;

  /**
   * Makes a connector.
   * @param aThreads I/O threads.
   * @return The connector; its threads end with it.
   */
  static std::unique_ptr<http_connector> Create(int aThreads);

  /** Makes a connection that connects on its first exchange. */
  virtual std::shared_ptr<http_connection> Open(
    const model::endpoint& aPeer) = 0;

  /** Calls @p aTask on an I/O thread once @p aDelay has gone by. */
  virtual void RunAfter(model::duration aDelay,
                        std::function<void()> aTask) = 0;

  virtual void Stop() = 0; ///< Ends the threads; pending tasks do not run.
};

} // namespace monsooncroft::net

#endif
