/**
 * @file leaf_attempt.h
 * One request at a leaf.
 */
#ifndef MONSOONCROFT_STANDIN_LEAF_ATTEMPT_H
#define MONSOONCROFT_STANDIN_LEAF_ATTEMPT_H

#include "model/time_type.h"
#include "standin/http_listener.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace monsooncroft::standin {

/** Where an attempt stands. */
enum class attempt_state
{
  Waiting,
  Running,
  Ended,
};

/** An attempt. */
struct leaf_attempt
{
  std::string mRequest;
  std::string mAttempt;
  std::string mService;
  std::string mShard;
  std::uint64_t mSnapshot = 0;
  bool mIdempotent = true;
  nlohmann::json mBody;
  model::instant mExpires; ///< Not started after this.
  model::instant mStarted;
  std::uint64_t mBoot = 0; ///< The boot that took it.
  attempt_state mState = attempt_state::Waiting;
  reply_callback mReply;
};

/**
 * Reads an attempt.
 * @throws nlohmann::json::exception if a field is missing or wrong.
 */
leaf_attempt
ParseAttempt(const nlohmann::json& aBody, model::instant aNow);

/** The result of an attempt: the same for the same attempt. */
nlohmann::json
ResultOf(const leaf_attempt& aAttempt);

} // namespace monsooncroft::standin

#endif
