/**
 * @file warmup_table_base.h
 * Leaves that have just started and get a reduced load.
 */
#ifndef MONSOONCROFT_POLICY_WARMUP_TABLE_BASE_H
#define MONSOONCROFT_POLICY_WARMUP_TABLE_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"
#include "policy/boot_type.h"

#include <map>
#include <optional>

namespace monsooncroft::policy {

/** Ramps up a leaf's load over some seconds after its boot id has changed. */
class warmup_table
{
public:
  static constexpr model::duration kRampDuration = std::chrono::seconds(5);
  static constexpr double kMinShare = 0.1; ///< Share right after the start.

  explicit warmup_table(model::duration aRamp = kRampDuration)
    : mRampDuration(aRamp)
  {
  }

  /** Records the boot id in a leaf's reply. A leaf seen for the first time
   * counts as warm. */
  void OnReply(const model::leaf_id& aLeaf,
               const boot_id& aBoot,
               model::instant aNow);

  /** Fraction of its normal load that the leaf should get now, up to 1. */
  double LoadShare(const model::leaf_id& aLeaf, model::instant aNow) const;
  void Forget(const model::leaf_id& aLeaf); ///< The leaf left the manifest.

private:
  /** Current boot of a leaf. */
  struct boot_record
  {
    boot_id mBoot;
    std::optional<model::instant> mStartedAt; ///< Empty if the leaf is warm.
  };

  model::duration mRampDuration;
  std::map<model::leaf_id, boot_record> mBoots;
};

} // namespace monsooncroft::policy

#endif
