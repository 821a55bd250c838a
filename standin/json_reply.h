/**
 * @file json_reply.h
 * Answers made from JSON.
 */
#ifndef MONSOONCROFT_STANDIN_JSON_REPLY_H
#define MONSOONCROFT_STANDIN_JSON_REPLY_H

#include "standin/http_listener.h"

#include <nlohmann/json.hpp>

namespace monsooncroft::standin {

/** An answer with a JSON body. */
inline http_reply
JsonReply(int aStatus, const nlohmann::json& aBody)
{
  http_reply reply;
  reply.mResponse.mStatus = aStatus;
  reply.mResponse.mBody = aBody.dump();
  return reply;
}

/** An answer that only gives a reason. */
inline http_reply
ReasonReply(int aStatus, const std::string& aReason)
{
  return JsonReply(aStatus, { { "reason", aReason } });
}

} // namespace monsooncroft::standin

#endif
