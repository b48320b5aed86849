#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/stand
