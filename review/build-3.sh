#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./review/stand3
