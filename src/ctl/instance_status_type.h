/**
 * @file instance_status_type.h
 * What an entry instance says of itself.
 */
#ifndef MONSOONCROFT_CTL_INSTANCE_STATUS_TYPE_H
#define MONSOONCROFT_CTL_INSTANCE_STATUS_TYPE_H

#include "model/endpoint_type.h"
#include "model/manifest_base.h"

#include <string>
#include <vector>

namespace monsooncroft::ctl {

/** One instance's state. */
struct instance_status
{
  model::endpoint mAddress; ///< Caller address that was asked.
  bool mAnswered = false;   ///< The rest says nothing if false.
  std::string mInstance;    ///< Its name; from the list if it is silent.
  std::string mDataCentre;  ///< Its data centre.
  bool mLeaving = false;    ///< Listed as leaving.
  model::manifest_version mManifest = 0; ///< In force; 0: none.
  bool mReady = false;                   ///< Takes callers' queries.
  std::vector<std::string> mAlarms;      ///< Those that stand.

  bool operator==(const instance_status&) const = default;
};

} // namespace monsooncroft::ctl

#endif
