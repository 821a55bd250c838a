/**
 * @file leaf_sender_base.h
 * Sends a fan-out's attempts to leaves.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_SENDER_BASE_H
#define MONSOONCROFT_ENTRY_LEAF_SENDER_BASE_H

#include "entry/attempt_sender_base.h"
#include "entry/leaf_job_type.h"

namespace monsooncroft::entry {

class leaf_table;

/** Targets are leaves. */
class leaf_sender : public attempt_sender
{
public:
  /**
   * @param aLeaves The leaves; outlives this.
   * @param aPattern The job of each attempt but for attempt and shard.
   */
  leaf_sender(leaf_table& aLeaves, leaf_job aPattern);

  void Send(const std::vector<policy::send_effect>& aSends,
            const callback& aDone) override;
  void Cancel(const std::vector<policy::cancel_effect>& aCancels) override;

private:
  leaf_table& mLeaves;
  leaf_job mPattern;
};

} // namespace monsooncroft::entry

#endif
