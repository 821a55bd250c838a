/**
 * @file instance_status_type.h
 * The status that an entry instance reports.
 */
#ifndef MONSOONCROFT_CTL_INSTANCE_STATUS_TYPE_H
#define MONSOONCROFT_CTL_INSTANCE_STATUS_TYPE_H

#include "model/endpoint_type.h"
#include "model/manifest_base.h"

#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** The status of one entry instance. */
struct instance_status
{
  model::endpoint mAddress; ///< Caller address that the status is fetched from.
  bool mAnswered = false; ///< False: no status was received; mManifest, mReady
                          ///< and mAlarms have their defaults.
  std::string mInstance;  ///< Instance name; without an answer, the listed name
                          ///< or the address.
  std::string mDataCentre; ///< Name of the data centre of the instance.
  bool mLeaving = false; ///< The platform's list marks the instance as leaving.
  model::manifest_version mManifest =
    0;                              ///< Manifest version in force; 0: none.
  bool mReady = false;              ///< The instance accepts callers' queries.
  std::vector<std::string> mAlarms; ///< Active alarms.

  bool operator==(const instance_status&) const = default;
};

} // namespace monsooncroft::ctl

#endif
