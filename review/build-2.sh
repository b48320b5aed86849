#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
