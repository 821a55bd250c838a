/**
 * @file request_timeline_func.h
 * Builds the timeline of a request from the instances' logs.
 */
#ifndef MONSOONCROFT_CTL_REQUEST_TIMELINE_FUNC_H
#define MONSOONCROFT_CTL_REQUEST_TIMELINE_FUNC_H

#include <istream>
#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** Log records that concern a request, formatted and ordered by time. */
struct request_timeline
{
  std::vector<std::string> mLines; ///< "time_ms instance event key=value ..."
  std::size_t mLinesRead = 0;      ///< Number of log lines read.
  std::size_t mUnreadableLines =
    0; ///< Number of lines read that hold no JSON object with an "event".
  bool mRequestFound = false; ///< At least one record carries the request's id.
};

/**
 * Selects the records of the request and, for each instance that logged one,
 * the state of that instance before it: the last records about the
 * configuration in force, the store, readiness, start, stop and suspension, and
 * the recent records about the leaves tried for shards that the answer lacks.
 * @param aLogs Log lines of any number of instances; text before a line's JSON
 * object is ignored.
 * @param aRequest Id of the request.
 * @return The selected records, ordered by time.
 */
request_timeline
FormatTimeline(std::istream& aLogs, const std::string& aRequest);

} // namespace monsooncroft::ctl

#endif
