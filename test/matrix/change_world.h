/**
 * @file change_world.h
 * One configuration change from the operators' commands to every instance.
 */
#ifndef MONSOONCROFT_TEST_MATRIX_CHANGE_WORLD_H
#define MONSOONCROFT_TEST_MATRIX_CHANGE_WORLD_H

#include "cluster/fake_network.h"
#include "matrix/cell_type.h"
#include "matrix/evidence_type.h"
#include "store/apply_base.h"
#include "store/fake_store.h"

#include <list>
#include <optional>

namespace monsooncroft::test {

/** The operators, the store and nine instances in three data centres. */
class change_world
{
public:
  /** @param aFault Nothing: all goes well. */
  change_world(std::optional<fault> aFault, step aStep, unsigned aSeed);

  void Run();
  bool Reached() const { return mReached; } ///< The step was.
  const evidence& Evidence() const { return mEvidence; }

private:
  /** An operator's command. */
  struct command
  {
    store::apply_machine mMachine;
    store::change_id mChange;
    bool mAlive = true;
  };

  command& Add(const std::string& aChange, bool aRepeated);
  void RunCommands();
  void Advance(command& aCommand);
  void Finish(command& aCommand);
  store::store_fault OnCall(command& aCommand);
  void DisturbCommand(command& aCommand);
  void DisturbNetwork();
  void Replace(const std::string& aId);
  void Heal();
  void Publish(); ///< Shows the store's newest head to the instances.
  bool Newest() const;

  std::optional<fault> mFault;
  step mStep;
  unsigned mSeed;
  store::fake_store mStore;
  std::list<command> mCommands;
  store::store_fault mNextCall = store::store_fault::None;
  int mDownCalls = 0; ///< Calls that are still refused.
  model::manifest_version mPublished = 0;
  fake_network mNetwork;
  bool mReached = false;
  evidence mEvidence;
};

} // namespace monsooncroft::test

#endif
