/**
 * @file http_connector_base.h
 * Creates outgoing HTTP connections and runs their I/O threads.
 */
#ifndef MONSOONCROFT_NET_HTTP_CONNECTOR_BASE_H
#define MONSOONCROFT_NET_HTTP_CONNECTOR_BASE_H

#include "model/endpoint_type.h"
#include "model/time_type.h"

#include <functional>
#include <memory>

namespace monsooncroft::net {

class http_connection;

/** Creates connections and timers that share a set of I/O threads. Thread safe.
 */
class http_connector
{
public:
  /** Called on an I/O thread for each response that is not valid HTTP/1.1, with
   * what is wrong with it. */
  using malformed_handler =
    std::function<void(const model::endpoint& aPeer, const char* aDefect)>;

  virtual ~http_connector() = default;

  /**
   * Creates a connector and starts its I/O threads.
   * @param aThreads Number of I/O threads.
   * @param aOnMalformed May be null.
   * @return The connector; its destructor stops the threads.
   */
  static std::unique_ptr<http_connector> Create(
    int aThreads,
    malformed_handler aOnMalformed = nullptr);

  /** Creates a connection to @p aPeer that connects on its first exchange. */
  virtual std::shared_ptr<http_connection> Open(
    const model::endpoint& aPeer) = 0;

  /** Calls @p aTask on an I/O thread after @p aDelay. */
  virtual void RunAfter(model::duration aDelay,
                        std::function<void()> aTask) = 0;

  virtual void Stop() = 0; ///< Stops the I/O threads; pending tasks do not run.
};

} // namespace monsooncroft::net

#endif
