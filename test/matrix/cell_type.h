/**
 * @file cell_type.h
 * The cells of the fault matrix: every fault at every step.
 */
#ifndef MONSOONCROFT_TEST_MATRIX_CELL_TYPE_H
#define MONSOONCROFT_TEST_MATRIX_CELL_TYPE_H

#include <array>
#include <string>

namespace monsooncroft::test {

/** What goes wrong. */
enum class fault
{
  Straggler,
  ReplicaLost,
  Repartition,
  StoreDown,
  StoreSlow,
  AnswerLost,
  PausedHolder,
  RacingOperators,
  KillingRequest,
  SilentConnection,
  DataCentreCut,
  InstanceKilled,
  InstanceReplaced,
  End,
};

/** When it does: a query's steps, then those of a configuration change. */
enum class step
{
  Accept,   ///< The query reached an instance.
  Plan,     ///< Manifest and index version are pinned.
  Record,   ///< The intent is about to be written.
  Relay,    ///< A message goes to an owner.
  Dispatch, ///< An attempt got a slot of a leaf.
  Run,      ///< A leaf runs it.
  Reply,    ///< A leaf has run it.
  Merge,    ///< The fan-out is over.
  Answer,   ///< The answer is made.
  Chunks,   ///< A chunk of a manifest is about to be written.
  Head,     ///< The head is about to be swapped.
  Spread,   ///< The head is in the store and nowhere else.
  Apply,    ///< A first instance has put it in force.
  End,
};

constexpr step kFirstOfChange = step::Chunks;

inline const char*
ToString(fault aFault)
{
  static constexpr std::array<const char*, std::size_t(fault::End)> kNames{
    "straggler",         "replica_lost",     "repartition",
    "store_down",        "store_slow",       "answer_lost",
    "paused_holder",     "racing_operators", "killing_request",
    "silent_connection", "data_centre_cut",  "instance_killed",
    "instance_replaced",
  };
  return kNames.at(std::size_t(aFault));
}

inline const char*
ToString(step aStep)
{
  static constexpr std::array<const char*, std::size_t(step::End)> kNames{
    "accept", "plan",   "record", "relay", "dispatch", "run",   "reply",
    "merge",  "answer", "chunks", "head",  "spread",   "apply",
  };
  return kNames.at(std::size_t(aStep));
}

/** Why a cell cannot be reached; null if it can. */
inline const char*
WhyNotReachable(fault aFault, step aStep)
{
  const bool leafFault =
    aFault == fault::Straggler || aFault == fault::ReplicaLost ||
    aFault == fault::Repartition || aFault == fault::KillingRequest;
  if (aStep >= kFirstOfChange && leafFault) {
    return "no backend server takes part in a change";
  }
  const bool writesFollow = aStep == step::Accept || aStep == step::Record ||
                            aStep == step::Chunks || aStep == step::Head;
  if (aFault == fault::AnswerLost && !writesFollow) {
    return "nothing is written to the store from this step on";
  }
  const bool over = aStep == step::Merge || aStep == step::Answer;
  if (aFault == fault::KillingRequest && over) {
    return "the request is not sent to a backend server any more";
  }
  return nullptr;
}

} // namespace monsooncroft::test

#endif
