#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit codes: 0 the rule held; 1 it was broken; 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/fireflyrudder-platform ] || [ ! -x target/review-harness ]; then
  echo "build with the command of deploy/system.toml and with review/build.sh first" >&2
  exit 2
fi
exec target/review-harness drain-primary "$here/record.txt"
