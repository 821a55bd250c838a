/**
 * @file manifest_fetch_func.h
 * Feeds a reader from the platform.
 */
#ifndef MONSOONCROFT_STORE_MANIFEST_FETCH_FUNC_H
#define MONSOONCROFT_STORE_MANIFEST_FETCH_FUNC_H

#include "store/manifest_reader_type.h"
#include "store/store_type.h"

namespace monsooncroft::store {

class key_value_service;
class manifest_reader;

/** What one look at the platform came to. */
struct fetch_outcome
{
  store_status mStatus = store_status::Unavailable; ///< NotFound: no head.
  reader_step mStep = reader_step::Ignored;         ///< What the reader did.
  revision mRevision = 0; ///< Revision of the head, for the next watch.
};

/**
 * Reads the head and every missing chunk.
 * @param aStore The service.
 * @param aReader The reader.
 */
fetch_outcome
FetchManifest(key_value_service& aStore, manifest_reader& aReader);

/**
 * Hands a head that was read, by get or watch, to the reader, and reads every
 * missing chunk.
 * @param aStore The service.
 * @param aHead The head as read.
 * @param aReader The reader.
 */
fetch_outcome
FetchManifest(key_value_service& aStore,
              const read_outcome& aHead,
              manifest_reader& aReader);

} // namespace monsooncroft::store

#endif
