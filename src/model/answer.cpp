/**
 * @file answer.cpp
 * Wire names of request statuses.
 */
#include "model/answer_type.h"

namespace monsooncroft::model {

const char*
ToString(status aStatus)
{
  switch (aStatus) {
    case status::Complete:
      return "complete";
    case status::Partial:
      return "partial";
    case status::Failed:
      return "failed";
    case status::NotRun:
      return "not_run";
    case status::Unknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace monsooncroft::model
