#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -o target/ ./review/stand2
