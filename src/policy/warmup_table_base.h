/**
 * @file warmup_table_base.h
 * Which leaves have just started and get less work for a while.
 */
#ifndef MONSOONCROFT_POLICY_WARMUP_TABLE_BASE_H
#define MONSOONCROFT_POLICY_WARMUP_TABLE_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"
#include "policy/boot_type.h"

#include <map>
#include <optional>

namespace monsooncroft::policy {

/** A leaf seen with another boot id than before ramps up over some seconds. */
class warmup_table
{
public:
  static constexpr model::duration kRampDuration = std::chrono::seconds(5);
  static constexpr double kMinShare = 0.1; ///< Right after the start.

  explicit warmup_table(model::duration aRamp = kRampDuration)
    : mRampDuration(aRamp)
  {
  }

  /** A reply of the leaf. The first ever seen is taken as a warm leaf's. */
  void OnReply(const model::leaf_id& aLeaf,
               const boot_id& aBoot,
               model::instant aNow);

  /** Part of its normal work that the leaf should get now, up to 1. */
  double LoadShare(const model::leaf_id& aLeaf, model::instant aNow) const;
  void Forget(const model::leaf_id& aLeaf); ///< It left the manifest.

private:
  /** A leaf's present life. */
  struct boot_record
  {
    boot_id mBoot;
    std::optional<model::instant> mStartedAt; ///< Nothing: warm.
  };

  model::duration mRampDuration;
  std::map<model::leaf_id, boot_record> mBoots;
};

} // namespace monsooncroft::policy

#endif
