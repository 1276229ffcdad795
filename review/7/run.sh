#!/usr/bin/env bash
# Plays the case. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays it without the
# disruption, TROUBLE=part with only that part of it that the claim does not blame.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -x target/review-2 ] && [ -x target/fireflyrudder-platform ] || exit 2 # build them first
exec target/review-2 reuse target/fireflyrudder-platform "$folder"
