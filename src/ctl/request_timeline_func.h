/**
 * @file request_timeline_func.h
 * What became of a request, from the instances' logs.
 */
#ifndef MONSOONCROFT_CTL_REQUEST_TIMELINE_FUNC_H
#define MONSOONCROFT_CTL_REQUEST_TIMELINE_FUNC_H

#include <istream>
#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** Lines about a request in the order of their time. */
struct request_timeline
{
  std::vector<std::string> mLines;  ///< "time_ms instance event key=value ..."
  std::size_t mLinesRead = 0;       ///< Log lines that were read.
  std::size_t mUnreadableLines = 0; ///< Of them, lines without a JSON object.
  bool mRequestFound = false;       ///< A line of the request itself is there.
};

/**
 * Collects the request's own lines and, of the instances that had it, what they
 * believed shortly before: the configuration in force, the store, readiness,
 * and the leaves of the shards that its answer lacks.
 * @param aLogs Lines of any number of instances; text before a line's JSON
 * object is passed over.
 * @param aRequest Its id.
 */
request_timeline
FormatTimeline(std::istream& aLogs, const std::string& aRequest);

} // namespace monsooncroft::ctl

#endif
