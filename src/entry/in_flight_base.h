/**
 * @file in_flight_base.h
 * Counting what is under way.
 */
#ifndef MONSOONCROFT_ENTRY_IN_FLIGHT_BASE_H
#define MONSOONCROFT_ENTRY_IN_FLIGHT_BASE_H

#include <atomic>

namespace monsooncroft::entry {

/** Counts one request for as long as it lives. */
class in_flight
{
public:
  explicit in_flight(std::atomic<int>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~in_flight() { --mCount; }
  in_flight(const in_flight&) = delete;
  in_flight& operator=(const in_flight&) = delete;
  in_flight(in_flight&&) = delete;
  in_flight& operator=(in_flight&&) = delete;

private:
  std::atomic<int>& mCount;
};

} // namespace monsooncroft::entry

#endif
