/**
 * @file service_record_base.h
 * How often workspaces are served at a queue, and which are owed service.
 */
#ifndef MONSOONCROFT_SERVING_SERVICE_RECORD_BASE_H
#define MONSOONCROFT_SERVING_SERVICE_RECORD_BASE_H

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace monsooncroft::serving {

/**
 * With ranks alone, requests of an urgent rank that fill a leaf keep all others
 * from it for as long as they come; with equal shares, a large workspace is
 * served less often than the small ones. Each request that is served or has
 * waited in vain earns its workspace a fraction of the service that requests
 * get on average; a workspace that has earned more requests than it was served
 * is owed the difference. Requests that still wait earn nothing: a burst does
 * not go before others.
 */
class service_record
{
public:
  void OnServed(std::string_view aWorkspace) { OnOutcome(aWorkspace, true); }
  /** A request has waited in vain. */
  void OnDropped(std::string_view aWorkspace) { OnOutcome(aWorkspace, false); }
  /** Requests that the workspace is owed with its next one; at least 1 if it
   * goes first. */
  double OwedWithNext(std::string_view aWorkspace) const
  {
    return Owed(aWorkspace) + EarnedByRequest();
  }
  void Clear();

private:
  double Owed(std::string_view aWorkspace) const;
  double EarnedByRequest() const;
  void OnOutcome(std::string_view aWorkspace, bool aServed);

  /** Only workspaces that are owed something. */
  std::map<std::string, double, std::less<>> mOwed;
  std::size_t mServed = 0;
  std::size_t mOutcomes = 0;
};

} // namespace monsooncroft::serving

#endif
