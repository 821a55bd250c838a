/**
 * @file quarantine_codec_func.h
 * Quarantine marks as rumours and as messages between instances.
 */
#ifndef MONSOONCROFT_ENTRY_QUARANTINE_CODEC_FUNC_H
#define MONSOONCROFT_ENTRY_QUARANTINE_CODEC_FUNC_H

#include "cluster/gossip_update_type.h"
#include "once/quarantine_type.h"

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::entry {

cluster::gossip_update
WriteQuarantineRumour(const once::crash_mark& aMark);

/** Nothing for another or a malformed entry. */
std::optional<once::crash_mark>
ReadQuarantineRumour(const cluster::gossip_update& aRumour);

std::string
EmitMarks(const std::vector<once::crash_mark>& aMarks);

/** Nothing for a text that is no such message. */
std::optional<std::vector<once::crash_mark>>
ParseMarks(const std::string& aText);

} // namespace monsooncroft::entry

#endif
