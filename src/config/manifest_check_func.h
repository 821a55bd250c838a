/**
 * @file manifest_check_func.h
 * Checks that span several entries of a manifest.
 */
#ifndef MONSOONCROFT_CONFIG_MANIFEST_CHECK_FUNC_H
#define MONSOONCROFT_CONFIG_MANIFEST_CHECK_FUNC_H

#include "config/config_error_type.h"
#include "model/manifest_base.h"

#include <string>
#include <vector>

namespace monsooncroft::config {

/**
 * Checks one service: names once, references declared, size.
 * @param aService The service.
 * @param aPath JSON pointer to it.
 * @param aErrors Receives the faults.
 */
void
CheckService(const model::service& aService,
             const std::string& aPath,
             config_errors& aErrors);

/**
 * Checks that tenants are named once.
 * @param aTenants The tenants.
 * @param aPath JSON pointer to them.
 * @param aErrors Receives the faults.
 */
void
CheckTenants(const std::vector<model::workspace>& aTenants,
             const std::string& aPath,
             config_errors& aErrors);

/**
 * Checks what spans services: their names, leaf names and addresses.
 * @param aServices The services.
 * @param aErrors Receives the faults; pointers start at "/services".
 */
void
CheckAcross(const std::vector<model::service>& aServices,
            config_errors& aErrors);

} // namespace monsooncroft::config

#endif
