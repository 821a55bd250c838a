/**
 * @file leaf_job_type.h
 * One attempt on its way to a leaf.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_JOB_TYPE_H
#define MONSOONCROFT_ENTRY_LEAF_JOB_TYPE_H

#include "link/leaf_protocol_type.h"
#include "policy/admission_type.h"

#include <optional>

namespace monsooncroft::entry {

/** What the leaf is asked, and how urgent that is. */
struct leaf_job
{
  link::execute_request mRequest; ///< Its remaining time is set at the send.
  policy::admission_item mItem;   ///< Same attempt as in mRequest.
  /** No first byte after this; for requests that run at most once. */
  std::optional<model::wall_instant> mSendBefore;
  bool mAlone = false; ///< The leaf runs nothing else meanwhile.
};

} // namespace monsooncroft::entry

#endif
