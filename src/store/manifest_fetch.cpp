/**
 * @file manifest_fetch.cpp
 * Feeds a reader from the platform.
 */
#include "store/manifest_fetch_func.h"

#include "store/key_value_service_base.h"
#include "store/manifest_reader_base.h"

namespace monsooncroft::store {

fetch_outcome
FetchManifest(key_value_service& aStore, manifest_reader& aReader)
{
  return FetchManifest(aStore, aStore.Get(kHeadKey), aReader);
}

fetch_outcome
FetchManifest(key_value_service& aStore,
              const read_outcome& aHead,
              manifest_reader& aReader)
{
  fetch_outcome out{ aHead.mStatus, reader_step::Ignored, aHead.mRevision };
  if (aHead.mStatus == store_status::NotFound) {
    out.mStep = aReader.OnHeadAbsent();
    return out;
  }
  if (aHead.mStatus != store_status::Ok) {
    return out;
  }
  out.mStep = aReader.OnHead(aHead.mValue, head_source::Platform);
  if (out.mStep != reader_step::Fetching) {
    return out;
  }
  for (const chunk_ref& chunk : aReader.Missing()) {
    const read_outcome got = aStore.Get(chunk.Key());
    if (got.mStatus == store_status::NotFound) {
      aReader.OnChunkGone(chunk);
    }
    if (got.mStatus != store_status::Ok) {
      out.mStatus = store_status::Unavailable;
      return out;
    }
    out.mStep = aReader.OnChunk(chunk, got.mValue);
    if (out.mStep != reader_step::Fetching) {
      return out;
    }
  }
  return out;
}

} // namespace monsooncroft::store
