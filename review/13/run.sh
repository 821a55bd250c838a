#!/usr/bin/env bash
# Case 13: a leaf that has left is kept after a loss of power of the machines that read the registrations.
set -uo pipefail
# 1: with the disruption; 0: the same without it, which must pass.
trouble=${TROUBLE:-1}
. "$(dirname "$0")/../lib3/run-driver.sh"
