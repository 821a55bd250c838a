/**
 * @file fixed_seed.h
 * Fixed seed, so that property tests run the same cases each time.
 */
#ifndef MONSOONCROFT_TEST_POLICY_FIXED_SEED_H
#define MONSOONCROFT_TEST_POLICY_FIXED_SEED_H

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace monsooncroft::policy {

/** Initialized before RapidCheck reads its parameters; a value in the
 * environment takes precedence. */
inline const int kSeedIsSet =
  setenv("RC_PARAMS", "seed=20260304 max_success=3000", 0);

} // namespace monsooncroft::policy

#endif
