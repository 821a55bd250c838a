/**
 * @file store.cpp
 * Names of statuses.
 */
#include "store/store_type.h"

namespace monsooncroft::store {

const char*
ToString(store_status aStatus)
{
  switch (aStatus) {
    case store_status::Ok:
      return "ok";
    case store_status::NotFound:
      return "not_found";
    case store_status::Conflict:
      return "conflict";
    case store_status::Throttled:
      return "throttled";
    case store_status::Unavailable:
      return "unavailable";
    case store_status::Ambiguous:
      return "ambiguous";
  }
  return "unknown";
}

} // namespace monsooncroft::store
