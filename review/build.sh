#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python without further packages, so nothing is compiled; the
# scripts start the program that the deploy file builds, target/bin/monsooncroft-platform.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
