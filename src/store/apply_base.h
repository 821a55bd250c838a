/**
 * @file apply_base.h
 * The state machine that puts a manifest into force.
 */
#ifndef MONSOONCROFT_STORE_APPLY_BASE_H
#define MONSOONCROFT_STORE_APPLY_BASE_H

#include "store/apply_type.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::store {

/**
 * Applies one manifest: reads the head, deletes chunks long out of use, writes
 * the new chunks, swaps the head, and finds out what became of a swap whose
 * answer was lost. It does no I/O: the driver carries out Next() and hands the
 * outcome back, until there is no next call. Copyable, so that every order of
 * events can be tried.
 */
class apply_machine
{
public:
  explicit apply_machine(apply_request aRequest);

  /** The call to make now; nothing once there is a verdict. */
  std::optional<store_call> Next() const;

  /** Outcome of a get_call. @pre Next() is one. */
  void OnRead(const read_outcome& aOutcome);

  /** Outcome of a swap_call or delete_call. @pre Next() is one. */
  void OnWrite(const write_outcome& aOutcome);

  /** The verdict. @pre Next() is nothing. */
  const apply_verdict& Verdict() const { return mVerdict; }

  /** Tries of the present call that came to nothing; for backing off. */
  int Failures() const { return mFailures; }

  /** The state as one line, for logs; equal states, equal lines. */
  std::string Describe() const;

private:
  enum class phase
  {
    ReadHead,    ///< Reads the head that the change is based on.
    Prune,       ///< Deletes chunks that were retired long ago.
    WriteChunks, ///< Writes the chunks that are not there yet.
    SwapHead,    ///< Swaps the head; the one step that takes effect.
    Settle,      ///< Reads the head to learn what became of the swap.
    Done,        ///< There is a verdict.
  };

  void OnBaseHead(const read_outcome& aOutcome);
  void OnSettlingHead(const read_outcome& aOutcome);
  void OnChunkWritten(const write_outcome& aOutcome);
  void OnChunkDeleted(const write_outcome& aOutcome);
  void OnHeadSwapped(const write_outcome& aOutcome);
  void BuildNext();
  void PlaceChunk(chunk_ref& aPlace,
                  const chunk_text& aText,
                  const std::map<std::string, chunk_ref>& aPresent);
  void RetireChunks();
  void Enter(phase aPhase);
  void Advance();
  void Fail(const std::string& aReason);
  void Finish(apply_end aEnd, const std::string& aReason);

  /** A chunk still to be written. */
  struct pending_chunk
  {
    chunk_ref* Place(head& aHead) const;
    std::size_t mPlace = 0;            ///< 0: tenants; else service + 1.
    const chunk_text* mText = nullptr; ///< Owned by the request.
  };

  std::shared_ptr<const apply_request> mRequest; ///< Shared by copies.
  phase mPhase = phase::ReadHead;
  int mFailures = 0;          ///< Fruitless tries in this phase.
  head mBase;                 ///< Head that was read.
  revision mBaseRevision = 0; ///< Its revision; 0: there is none.
  head mNext;                 ///< Head to be written.
  std::vector<pending_chunk> mToWrite;
  std::vector<retired_chunk> mToDelete;
  std::size_t mDone = 0;       ///< Entries of the present list dealt with.
  bool mMaybeWritten = false;  ///< A swap's answer was lost.
  revision mLeastRevision = 0; ///< A settling read below it is stale.
  apply_verdict mVerdict;
};

} // namespace monsooncroft::store

#endif
