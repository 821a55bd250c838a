/**
 * @file answer_matcher_base.h
 * Matches the answers read on a connection to the requests sent on it.
 */
#ifndef MONSOONCROFT_GATEWAY_ANSWER_MATCHER_BASE_H
#define MONSOONCROFT_GATEWAY_ANSWER_MATCHER_BASE_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::gateway {

struct leaf_request;

/** What an answer on a connection to a leaf says of the request in progress. */
enum class answer_match : std::uint8_t
{
  Interim, ///< An interim answer (1xx); the answer may follow.
  Foreign, ///< An answer to an earlier request; the answer may follow.
  /** Answers that match nothing do not end; the connection is of no use. */
  Excess,
  Answered, ///< The leaf's answer to this request.
  Refused,  ///< The leaf has not run this request.
  /** A refusal that may belong to an earlier request of the connection. */
  AmbiguousRefusal,
  Unidentified, ///< An answer that names no request.
};

/** The fields of an answer that identify it. */
struct answer_identity
{
  int mStatus = 0;
  const std::string* mRequestId = nullptr; ///< Null if it names no request.
  bool mSaysNotRun = false; ///< The leaf says that it did not run the request.
};

/**
 * Faulty leaves send an answer a second time, at the point where the next
 * answer is expected. The request's id tells such a copy from the answer,
 * except in two cases: the same request was sent on the connection before, or
 * the leaf has refused a request without naming it. A request is not sent where
 * a copy could be taken for its answer, if that would let it run twice or make
 * a refusal untrue.
 */
class answer_matcher
{
public:
  /** Whether a request may be sent on this connection. */
  bool MayCarry(const std::shared_ptr<const leaf_request>& aRequest) const;
  /** @pre No request is in progress. */
  void OnSend(const std::shared_ptr<const leaf_request>& aRequest);
  /** @pre A request is in progress. */
  answer_match OnAnswer(const answer_identity& aAnswer);
  /** Whether the connection may be used again after an answer that ended the
   * request. Not if an answer may still follow that belongs to this request. */
  bool Reusable() const { return mReusable; }

private:
  answer_match OnRefusal(bool aNamesRequest);

  std::shared_ptr<const leaf_request> mRequest; ///< Sent last.
  /** Requests whose execution goes on and that were sent here. */
  std::vector<std::weak_ptr<const leaf_request>> mCarried;
  int mSkippedAnswers = 0; ///< Read during the current request.
  int mInterimAnswers = 0; ///< Read during the current request.
  bool mReusable = true;
  bool mRefusedWithoutId = false; ///< The leaf has refused an unnamed request.
};

} // namespace monsooncroft::gateway

#endif
