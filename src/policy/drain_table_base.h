/**
 * @file drain_table_base.h
 * Which leaves are leaving, by whose word.
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

/** What says that a leaf is leaving. */
enum class drain_signal
{
  List,    ///< The instance list.
  Reply,   ///< The leaf's own reply.
  Refused, ///< It refused a connection.
};

/** Whether a leaf gets work. */
enum class leaf_eligibility
{
  Usable,  ///< It does.
  Probe,   ///< No work; ask for its state.
  Leaving, ///< No work.
};

/** One signal as instances tell it each other; ages, as clocks differ. */
struct drain_mark
{
  model::leaf_id mLeaf;
  drain_signal mSignal = drain_signal::Reply;
  boot_id mBoot;             ///< Of a reply.
  model::duration mAge{ 0 }; ///< Since the signal was seen.

  bool operator==(const drain_mark&) const = default;
};

/**
 * Signals a leaf. Each ends by its own rule: the list's when the list shows
 * the leaf live; a reply's when another life of the leaf replies that it is
 * not draining, or the same one does so after the time in which replies can
 * overtake each other; a refused connection's when any reply comes. A refused
 * connection alone is probed again after a pause.
 */
class drain_table
{
public:
  static constexpr model::duration kProbePause = std::chrono::seconds(1);
  static constexpr model::duration kReorderTime = std::chrono::seconds(10);
  /** A leaf that said it is draining is asked again for its state. */
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
   * A mark from another instance. Only replies and refused connections are
   * taken over: each instance reads the list itself.
   */
  void Merge(const drain_mark& aMark, model::instant aNow);
  /** Counts a probe as sent: the next is due after a pause. */
  void OnProbe(const model::leaf_id& aLeaf, model::instant aNow);
  void Forget(const model::leaf_id& aLeaf); ///< It left the manifest.

  leaf_eligibility Eligibility(const model::leaf_id& aLeaf,
                               model::instant aNow) const;
  /** Present signals, for other instances and the status page. */
  std::vector<drain_mark> Marks(model::instant aNow) const;

private:
  /** A leaf's signals; nothing: not given. */
  struct leaf_signals
  {
    std::optional<model::instant> mListedLeavingSince;
    std::optional<model::instant> mLastDrainingReply;
    std::optional<model::instant> mLastRefusal;
    std::optional<model::instant> mLastProbe;
    boot_id mBoot;             ///< The life that replied last.
    model::instant mLastReply; ///< When it did.
  };

  bool ProbeDue(const leaf_signals& aEntry, model::instant aNow) const;

  std::map<model::leaf_id, leaf_signals> mLeaves;
};

} // namespace monsooncroft::policy

#endif
