#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The programs of the project come from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/lab2/cmd
