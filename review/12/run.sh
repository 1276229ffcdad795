#!/bin/bash
# Plays the case of this folder; claim.txt says what it shows. Exit code: 0 the rule held, 1 it was broken, 2 the case could
# not run. TROUBLE=0 leaves the disruption out, TROUBLE=part the event that the claim names last.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/stand3 ] || [ ! -x target/fireflyrudder-platform ]; then
  echo "build first: the command of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec target/stand3 "$(basename "$here")" target/fireflyrudder-platform "$here/record.txt"
