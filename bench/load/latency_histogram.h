/**
 * @file latency_histogram.h
 * Latencies in bins of equal relative width.
 */
#ifndef MONSOONCROFT_BENCH_LOAD_LATENCY_HISTOGRAM_H
#define MONSOONCROFT_BENCH_LOAD_LATENCY_HISTOGRAM_H

#include <memory>

namespace monsooncroft::bench {

/** Latencies from 10 microseconds to 100 s, each within 1%. */
class latency_histogram
{
public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(latency_histogram&&) noexcept;
  latency_histogram& operator=(latency_histogram&&) noexcept;
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void Add(double aMilliseconds);

  /**
   * The latency that a fraction of all do not exceed.
   * @param aFraction From 0 to 1.
   * @return Milliseconds, the upper edge of the bin; 0 if there are none.
   */
  double Quantile(double aFraction) const;

  unsigned long Count() const;
  double Max() const { return mMax; }

private:
  struct bins;
  std::unique_ptr<bins> mBins;
  double mMax = 0; ///< Milliseconds, exact.
};

} // namespace monsooncroft::bench

#endif
