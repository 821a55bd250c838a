/**
 * @file home_instance_func.h
 * Selects the entry instance that a request or fingerprint is sent through.
 */
#ifndef MONSOONCROFT_ONCE_HOME_INSTANCE_FUNC_H
#define MONSOONCROFT_ONCE_HOME_INSTANCE_FUNC_H

#include "model/identifier_type.h"

#include <string_view>
#include <vector>

namespace monsooncroft::once {

/**
 * Returns the home instance of a key by rendezvous hash. The home instance only
 * avoids contention and brings the sends of one request together; correctness
 * does not depend on it.
 * @param aKey The key, such as BucketKey(bucket).
 * @param aLive Instances that this instance considers live, in any order.
 * @return The home instance, or null if aLive is empty.
 */
const model::instance_id*
HomeInstance(std::string_view aKey,
             const std::vector<model::instance_id>& aLive);

} // namespace monsooncroft::once

#endif
