/**
 * @file apply_run.cpp
 * Drives an apply against a key-value service.
 */
#include "store/apply_run_func.h"

#include "store/apply_base.h"
#include "store/key_value_service_base.h"

namespace monsooncroft::store {

void
StepApply(apply_machine& aMachine, key_value_service& aStore)
{
  const store_call call = *aMachine.Next();
  if (const auto* get = std::get_if<get_call>(&call)) {
    aMachine.OnRead(aStore.Get(get->mKey));
  } else if (const auto* swap = std::get_if<swap_call>(&call)) {
    aMachine.OnWrite(
      aStore.CompareAndSwap(swap->mKey, swap->mExpect, swap->mValue, {}));
  } else {
    const auto& removal = std::get<delete_call>(call);
    aMachine.OnWrite(aStore.Delete(removal.mKey, removal.mExpect));
  }
}

apply_verdict
RunApply(const apply_request& aRequest,
         key_value_service& aStore,
         const std::function<void(int)>& aPause)
{
  apply_machine machine(aRequest);
  while (machine.Next()) {
    if (machine.Failures() > 0) {
      aPause(machine.Failures());
    }
    StepApply(machine, aStore);
  }
  return machine.Verdict();
}

} // namespace monsooncroft::store
