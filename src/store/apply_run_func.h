/**
 * @file apply_run_func.h
 * Drives an apply against a key-value service.
 */
#ifndef MONSOONCROFT_STORE_APPLY_RUN_FUNC_H
#define MONSOONCROFT_STORE_APPLY_RUN_FUNC_H

#include "store/apply_type.h"

#include <functional>

namespace monsooncroft::store {

class apply_machine;
class key_value_service;

/**
 * Carries out the machine's next call and hands it the outcome.
 * @param aMachine The machine. @pre It has a next call.
 * @param aStore The service.
 */
void
StepApply(apply_machine& aMachine, key_value_service& aStore);

/**
 * Drives an apply to its end.
 * @param aRequest The apply.
 * @param aStore The service.
 * @param aPause Called before a call is repeated, with the number of tries so
 *   far; waits.
 * @return The verdict.
 */
apply_verdict
RunApply(const apply_request& aRequest,
         key_value_service& aStore,
         const std::function<void(int)>& aPause);

} // namespace monsooncroft::store

#endif
