/**
 * @file quarantine_codec_func.h
 * Quarantine marks as rumours and as messages between instances.
 */
#ifndef MONSOONCROFT_ENTRY_QUARANTINE_CODEC_FUNC_H
#define MONSOONCROFT_ENTRY_QUARANTINE_CODEC_FUNC_H

#include "cluster/rumour_type.h"
#include "once/quarantine_type.h"

#include <optional>
#include <string>
#include <vector>

namespace monsooncroft::entry {

cluster::rumour
WriteQuarantineRumour(const once::death_mark& aMark);

/** Nothing for another or a malformed entry. */
std::optional<once::death_mark>
ReadQuarantineRumour(const cluster::rumour& aRumour);

std::string
EmitMarks(const std::vector<once::death_mark>& aMarks);

/** Nothing for a text that is no such message. */
std::optional<std::vector<once::death_mark>>
ParseMarks(const std::string& aText);

} // namespace monsooncroft::entry

#endif
