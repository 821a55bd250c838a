/**
 * @file home_member_func.h
 * The instance that a key is sent through.
 */
#ifndef MONSOONCROFT_ENTRY_HOME_MEMBER_FUNC_H
#define MONSOONCROFT_ENTRY_HOME_MEMBER_FUNC_H

#include "cluster/member_view_base.h"

#include <string>
#include <vector>

namespace monsooncroft::entry {

/**
 * Home of a key among the members that are alive.
 * @param aKey The key.
 * @param aView The members; may be null.
 * @param aSelf This instance, the home if nobody else is.
 * @param aExcept Members that were found unreachable.
 */
cluster::member
HomeMember(const std::string& aKey,
           const cluster::member_view_ptr& aView,
           const model::instance_id& aSelf,
           const std::vector<model::instance_id>& aExcept = {});

} // namespace monsooncroft::entry

#endif
