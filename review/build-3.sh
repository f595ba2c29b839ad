#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python and need only what the
# build of the deploy file has put into target/deps, so this checks that they load.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review:target/deps python3 -c "import fleet_harness"
echo "the stand-ins load"
