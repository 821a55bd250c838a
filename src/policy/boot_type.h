/**
 * @file boot_type.h
 * Name of one life of a leaf's process.
 */
#ifndef MONSOONCROFT_POLICY_BOOT_TYPE_H
#define MONSOONCROFT_POLICY_BOOT_TYPE_H

#include "model/identifier_type.h"

namespace monsooncroft::policy {

using boot_id = model::identifier<struct boot_tag>; ///< New at each start.

} // namespace monsooncroft::policy

#endif
