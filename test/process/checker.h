/**
 * @file checker.h
 * What must hold for every answer, checked against the leaves' own count.
 */
#ifndef MONSOONCROFT_TEST_PROCESS_CHECKER_H
#define MONSOONCROFT_TEST_PROCESS_CHECKER_H

#include "process/load.h"

namespace monsooncroft::process_test {

/**
 * Checks one answer: own request id, one snapshot in all results, coverage
 * that names exactly the shards whose results are absent, not_run never ran,
 * not idempotent at most once.
 */
void
CheckAnswer(deployment& aDeployment, const asked& aAsked);

/** CheckAnswer for each that was replied. */
void
CheckAll(deployment& aDeployment, const std::vector<asked>& aAsked);

/** Queries that got no reply at all. */
std::size_t
CountCut(const std::vector<asked>& aAsked);

} // namespace monsooncroft::process_test

#endif
