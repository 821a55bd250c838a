/**
 * @file record_codec_func.h
 * A bucket's value as text.
 */
#ifndef MONSOONCROFT_ONCE_RECORD_CODEC_FUNC_H
#define MONSOONCROFT_ONCE_RECORD_CODEC_FUNC_H

#include "once/record_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsooncroft::once {

/** Compact JSON; each incarnation is written once. */
std::string
EncodeRecord(const record& aRecord);

/**
 * Decodes a value; an empty text is an empty record.
 * @return Nothing if the text is no record: it must not be overwritten then.
 */
std::optional<record>
DecodeRecord(std::string_view aText);

/** An upper bound of Encode(aRecord).size(), cheap to work out. */
std::size_t
MaxEncodedBytes(const record& aRecord);

} // namespace monsooncroft::once

#endif
