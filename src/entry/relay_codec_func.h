/**
 * @file relay_codec_func.h
 * JSON of the messages between entry instances.
 */
#ifndef MONSOONCROFT_ENTRY_RELAY_CODEC_FUNC_H
#define MONSOONCROFT_ENTRY_RELAY_CODEC_FUNC_H

#include "entry/relay_type.h"

namespace monsooncroft::entry {

constexpr const char* kRelayTarget = "/peer/relay";
constexpr const char* kCancelTarget = "/peer/cancel";
constexpr const char* kHeldTarget = "/peer/held";
constexpr const char* kRunTarget = "/peer/run";
constexpr const char* kTrialTarget = "/peer/trial";
constexpr const char* kMarksTarget = "/peer/marks";
constexpr const char* kRpcTarget = "/rpc";

std::string
Emit(const relay_request& aRequest);
std::string
Emit(const relay_reply& aReply);
std::string
EmitHeld(const std::vector<held_row>& aRows);
std::string
EmitCancel(const std::vector<model::attempt_id>& aAttempts);

/** Nothing for a text that is no such message. */
std::optional<relay_request>
ParseRelayRequest(const std::string& aText);
std::optional<relay_reply>
ParseRelayReply(const std::string& aText);
std::optional<std::vector<held_row>>
ParseHeld(const std::string& aText);
std::optional<std::vector<model::attempt_id>>
ParseCancel(const std::string& aText);

} // namespace monsooncroft::entry

#endif
