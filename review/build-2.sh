#!/bin/sh
# Builds the stand-ins that the scripts in review/6 and later start. It needs no network.
cd "$(dirname "$0")/standin-2" && GOWORK=off GOFLAGS=-mod=mod go build -o bin/standin-2 .
