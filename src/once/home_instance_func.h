/**
 * @file home_instance_func.h
 * Which instance a request or fingerprint is sent through.
 */
#ifndef MONSOONCROFT_ONCE_HOME_INSTANCE_FUNC_H
#define MONSOONCROFT_ONCE_HOME_INSTANCE_FUNC_H

#include "model/identifier_type.h"

#include <string_view>
#include <vector>

namespace monsooncroft::once {

/**
 * Home instance of a key by rendezvous hash. It only avoids contention and
 * lets sends of one request meet; correctness never rests on it.
 * @param aKey Such as KeyOf(bucket).
 * @param aLive Live instances as this instance sees them, in any order.
 * @return The home, or null if aLive is empty.
 */
const model::instance_id*
HomeInstance(std::string_view aKey,
             const std::vector<model::instance_id>& aLive);

} // namespace monsooncroft::once

#endif
