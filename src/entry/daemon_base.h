/**
 * @file daemon_base.h
 * An entry instance, put together.
 */
#ifndef MONSOONCROFT_ENTRY_DAEMON_BASE_H
#define MONSOONCROFT_ENTRY_DAEMON_BASE_H

#include <memory>

namespace monsooncroft::config {
class settings;
}

namespace monsooncroft::entry {

/** A running instance. */
class daemon
{
public:
  virtual ~daemon() = default;

  /**
   * Starts an instance.
   * @param aSettings Checked settings.
   * @throws entry_error if an address cannot be bound.
   */
  static std::unique_ptr<daemon> Start(const config::settings& aSettings);

  /**
   * Stops gracefully: not ready at once, serving through the balancer's lag,
   * ended when nothing is in flight.
   * @return Whether everything in flight ended within the bound.
   */
  virtual bool Stop() = 0;

  /** Ends a Stop under way at its bound now; for a second signal. */
  virtual void Hurry() = 0;
};

} // namespace monsooncroft::entry

#endif
