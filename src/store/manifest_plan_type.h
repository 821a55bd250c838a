/**
 * @file manifest_plan_type.h
 * What a new manifest would change.
 */
#ifndef MONSOONCROFT_STORE_MANIFEST_PLAN_TYPE_H
#define MONSOONCROFT_STORE_MANIFEST_PLAN_TYPE_H

#include "model/manifest_base.h"

#include <string>
#include <vector>

namespace monsooncroft::store {

/** What happens to an entry. */
enum class plan_change
{
  Added,
  Removed,
  Changed,
};

/** What an entry is. */
enum class plan_subject
{
  Tenant,
  Service,
  Shard,
  Leaf,
  Contract,
};

/** One difference. */
struct plan_entry
{
  plan_change mChange = plan_change::Changed;
  plan_subject mSubject = plan_subject::Service;
  model::service_id mService; ///< Service it belongs to; empty for a tenant.
  std::string mName;          ///< Name, or kind of a contract.
  std::string mDetail;        ///< Fields that change, "slots 2 -> 4".

  bool operator==(const plan_entry&) const = default;
};

/**
 * The differences between two manifests.
 * @param aFrom The one in force.
 * @param aTo The new one.
 * @return In the order tenants, services; empty if nothing changes. An added
 *   or removed service is one entry.
 */
std::vector<plan_entry>
PlanChanges(const model::manifest& aFrom, const model::manifest& aTo);

/** Word of a change. */
const char*
ToString(plan_change aChange);

/** Word of a subject. */
const char*
ToString(plan_subject aSubject);

} // namespace monsooncroft::store

#endif
