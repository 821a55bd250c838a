/**
 * @file boot_type.h
 * Identifier of one run of a leaf process.
 */
#ifndef MONSOONCROFT_POLICY_BOOT_TYPE_H
#define MONSOONCROFT_POLICY_BOOT_TYPE_H

#include "model/identifier_type.h"

namespace monsooncroft::policy {

/** Changes with each start of the leaf process. */
using boot_id = model::identifier<struct boot_tag>;

} // namespace monsooncroft::policy

#endif
