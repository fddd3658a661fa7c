#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They need no other module.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
