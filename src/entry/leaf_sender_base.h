/**
 * @file leaf_sender_base.h
 * Sends a fan-out's attempts to leaves.
 */
#ifndef MONSOONCROFT_ENTRY_LEAF_SENDER_BASE_H
#define MONSOONCROFT_ENTRY_LEAF_SENDER_BASE_H

#include "entry/attempt_sender_base.h"
#include "entry/leaf_job_type.h"

#include <memory>

namespace monsooncroft::entry {

class attempt_count;
class leaf_table;

/** Targets are leaves. */
class leaf_sender : public attempt_sender
{
public:
  /**
   * @param aLeaves The leaves; outlives this.
   * @param aPattern The job of each attempt but for attempt and shard.
   * @param aCount Counts the attempts.
   */
  leaf_sender(leaf_table& aLeaves,
              leaf_job aPattern,
              std::shared_ptr<attempt_count> aCount);

  void Send(const std::vector<policy::send_effect>& aSends,
            const callback& aDone) override;
  void Cancel(const std::vector<policy::cancel_effect>& aCancels) override;

private:
  leaf_table& mLeaves;
  leaf_job mPattern;
  std::shared_ptr<attempt_count> mCount;
};

} // namespace monsooncroft::entry

#endif
