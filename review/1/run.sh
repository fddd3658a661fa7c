#!/usr/bin/env bash
# Needs target/lentilshed, which the build of the deploy file makes, and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/lentilshed ] || [ ! -x review/bin/standin ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec review/bin/standin rolling-upgrades review/1/record.txt
