/**
 * @file manifest_assembler_base.h
 * Puts manifests together, parsing only what changed.
 */
#ifndef MONSOONCROFT_ENTRY_MANIFEST_ASSEMBLER_BASE_H
#define MONSOONCROFT_ENTRY_MANIFEST_ASSEMBLER_BASE_H

#include "cluster/manifest_distribution_type.h"
#include "config/config_error_type.h"
#include "model/manifest_base.h"

#include <map>
#include <string>

namespace monsooncroft::entry {

/**
 * Remembers the services of the manifest before by the hash of their text. At
 * the target size a change touches one service of thousands. Not thread safe.
 */
class manifest_assembler
{
public:
  /**
   * Parses, checks and joins the chunks of a head.
   * @param aHead Names each chunk's hash, in the order of @p aChunks.
   * @param aChunks The texts.
   * @return The manifest, or every fault.
   */
  config::result<model::manifest> Assemble(
    const cluster::manifest_head& aHead,
    const std::vector<cluster::chunk>& aChunks);

  std::size_t Parsed() const { return mParsed; } ///< Services parsed so far.

private:
  using service_map = std::map<std::string, model::service>;

  service_map mServices; ///< Of the last manifest, by hash of the text.
  std::size_t mParsed = 0;
};

} // namespace monsooncroft::entry

#endif
