/**
 * @file drain_table_base.h
 * Leaves that are leaving, and the signals that say so.
 */
#ifndef MONSOONCROFT_POLICY_DRAIN_TABLE_BASE_H
#define MONSOONCROFT_POLICY_DRAIN_TABLE_BASE_H

#include "model/identifier_type.h"
#include "model/time_type.h"
#include "policy/boot_type.h"

#include <map>
#include <optional>
#include <vector>

namespace monsooncroft::policy {

/** Source of the information that a leaf is leaving. */
enum class drain_signal
{
  List,    ///< The instance list says so.
  Reply,   ///< A reply of the leaf says so.
  Refused, ///< The leaf refused a connection.
};

/** Whether a leaf may be sent work. */
enum class leaf_eligibility
{
  Usable,  ///< Work may be sent.
  Probe,   ///< No work; a probe of its state is due.
  Leaving, ///< No work, and no probe is due.
};

/** A signal as exchanged between instances; it carries an age instead of a
 * time, because clocks differ. */
struct drain_mark
{
  model::leaf_id mLeaf;
  drain_signal mSignal = drain_signal::Reply;
  boot_id mBoot;             ///< Set for reply signals only.
  model::duration mAge{ 0 }; ///< Time since the signal was seen.

  bool operator==(const drain_mark&) const = default;
};

/**
 * Drain signals of each leaf. A list signal ends when the list shows the leaf
 * live. A reply signal ends when a restarted leaf process (another boot id)
 * replies that it is not draining, or when the same process does so after the
 * time in which replies can overtake each other. A refused-connection signal
 * ends with any reply; a leaf with this signal alone is probed again after a
 * pause.
 */
class drain_table
{
public:
  static constexpr model::duration kProbePause = std::chrono::seconds(1);
  static constexpr model::duration kReorderTime = std::chrono::seconds(10);
  /** Pause before a leaf that replied that it is draining is probed again. */
  static constexpr model::duration kDrainingProbePause =
    std::chrono::seconds(15);

  void OnInstanceList(const model::leaf_id& aLeaf,
                      bool aLeaving,
                      model::instant aNow);
  void OnReply(const model::leaf_id& aLeaf,
               const boot_id& aBoot,
               bool aDraining,
               model::instant aNow);
  void OnConnectionRefused(const model::leaf_id& aLeaf, model::instant aNow);
  /**
   * Merges a mark from another instance. Only replies and refused connections
   * are merged: each instance reads the list itself.
   */
  void Merge(const drain_mark& aMark, model::instant aNow);
  /** Records that a probe was sent; the next probe is due after a pause. */
  void OnProbe(const model::leaf_id& aLeaf, model::instant aNow);
  void Forget(const model::leaf_id& aLeaf); ///< The leaf left the manifest.

  leaf_eligibility Eligibility(const model::leaf_id& aLeaf,
                               model::instant aNow) const;
  /** Current signals, for other instances and the status page. */
  std::vector<drain_mark> Marks(model::instant aNow) const;

private:
  /** Times of a leaf's signals; empty if a signal is not set. */
  struct leaf_signals
  {
    std::optional<model::instant> mListedLeavingSince;
    std::optional<model::instant> mLastDrainingReply;
    std::optional<model::instant> mLastRefusal;
    std::optional<model::instant> mLastProbe;
    boot_id mBoot;             ///< Boot id in the last reply.
    model::instant mLastReply; ///< Time of the last reply.
  };

  bool ProbeDue(const leaf_signals& aEntry, model::instant aNow) const;

  std::map<model::leaf_id, leaf_signals> mLeaves;
};

} // namespace monsooncroft::policy

#endif
