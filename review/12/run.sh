#!/usr/bin/env bash
# Case 12: a leaf that has left is used again after a read in pages of different ages.
set -uo pipefail
. "$(dirname "$0")/../lib3/run-driver.sh"
