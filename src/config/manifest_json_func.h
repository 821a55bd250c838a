/**
 * @file manifest_json_func.h
 * A manifest as JSON, whole and in its parts: the tenants and each service.
 */
#ifndef MONSOONCROFT_CONFIG_MANIFEST_JSON_FUNC_H
#define MONSOONCROFT_CONFIG_MANIFEST_JSON_FUNC_H

#include "config/config_error_type.h"
#include "model/manifest_base.h"

#include <string>
#include <vector>

namespace monsooncroft::config {

/** Version of the schema that is read and written. */
constexpr int kManifestSchema = 1;
/** Longest canonical text of one service, and of the tenants together; a
 * platform value holds it. */
constexpr std::size_t kMaxPartBytes = 1'000'000;
/** Longest text of a whole manifest. */
constexpr std::size_t kMaxManifestBytes = 64'000'000;
/** Deepest nesting of a manifest's arrays and objects. */
constexpr int kManifestDepth = 8;

/**
 * Reads a whole manifest and checks everything in it.
 * @param aText JSON.
 * @param aVersion Version that the manifest gets.
 * @return The manifest, or every fault. Never throws on bad text.
 */
result<model::manifest>
ParseManifest(const std::string& aText, model::manifest_version aVersion);

/**
 * Reads one service.
 * @param aText JSON as written by EmitService.
 */
result<model::service>
ParseService(const std::string& aText);

/**
 * Reads the tenants.
 * @param aText JSON as written by EmitTenants.
 */
result<std::vector<model::workspace>>
ParseTenants(const std::string& aText);

/**
 * Joins parts that were read one by one, and checks what spans them.
 * @param aVersion Version of the manifest.
 * @param aTenants The tenants.
 * @param aServices The services.
 */
result<model::manifest>
AssembleManifest(model::manifest_version aVersion,
                 std::vector<model::workspace> aTenants,
                 std::vector<model::service> aServices);

/** The canonical text of a manifest; its version is no part of it. */
std::string
EmitManifest(const model::manifest& aManifest);

/** The canonical text of one service: equal services, equal texts. */
std::string
EmitService(const model::service& aService);

/** The canonical text of the tenants. */
std::string
EmitTenants(const std::vector<model::workspace>& aTenants);

/** Word of an urgency in a manifest. */
const char*
ToString(model::urgency aUrgency);

/** Word of a merge rule in a manifest. */
const char*
ToString(model::merge_rule aRule);

} // namespace monsooncroft::config

#endif
