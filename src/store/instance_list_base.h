/**
 * @file instance_list_base.h
 * The platform's list of instances, which lags.
 */
#ifndef MONSOONCROFT_STORE_INSTANCE_LIST_BASE_H
#define MONSOONCROFT_STORE_INSTANCE_LIST_BASE_H

#include "store/instance_type.h"

namespace monsooncroft::store {

/** Source of the list. Thread safe. */
class instance_list
{
public:
  virtual ~instance_list() = default;
  /** Reads the list; blocking. */
  virtual instances_outcome List() = 0;
};

} // namespace monsooncroft::store

#endif
