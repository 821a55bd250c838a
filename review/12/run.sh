#!/usr/bin/env bash
# Case 12: a leaf that has left is used again after a read in pages of different ages.
set -uo pipefail
# 1: with the disruption; 0: the same without it, which must pass.
trouble=${TROUBLE:-1}
. "$(dirname "$0")/../lib3/run-driver.sh"
