/**
 * @file record_codec_func.h
 * Encodes the value of a bucket as text.
 */
#ifndef MONSOONCROFT_ONCE_RECORD_CODEC_FUNC_H
#define MONSOONCROFT_ONCE_RECORD_CODEC_FUNC_H

#include "once/record_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsooncroft::once {

/** Encodes a record as compact JSON; each incarnation is written once. */
std::string
EncodeRecord(const record& aRecord);

/**
 * Decodes a value; an empty text is an empty record.
 * @return std::nullopt if the text is not a record; the caller must not
 * overwrite it then.
 */
std::optional<record>
DecodeRecord(std::string_view aText);

/**
 * Returns an upper bound of EncodeRecord(aRecord).size() that is cheap to
 * compute.
 */
std::size_t
MaxEncodedBytes(const record& aRecord);

} // namespace monsooncroft::once

#endif
