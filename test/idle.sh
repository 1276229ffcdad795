#!/usr/bin/env bash
# Prints processor time and memory of an idle control VM and entry VM with the given number of
# database groups of three stand-ins, for docs/CAPACITY.md: test/idle.sh GROUPS [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
groups=${1:?number of groups}
seconds=${2:-20}
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work"' EXIT
go build -o "$work/ff" ./cmd/fireflyrudder

"$work/ff" control --name c --data "$work/data" --listen 127.0.0.1:17400 --announce 127.0.0.1:17401 \
  --peer 127.0.0.1:17400 2>"$work/control.log" &
control=$!
pids+=("$control")
for ((g = 0; g < groups; g++)); do
  printf '[group g%d]\nmembers = 3\nslots = 3\nconnections = 24\n\n[route g%d]\ngroup = g%d\ndatabase = db\nopen = true\nage = 2s\n\n' "$g" "$g" "$g"
  for i in 0 1 2; do
    "$work/ff" standin --server-name "g$g-$i" --group "g$g" --listen "127.0.0.1:$((18000 + g * 3 + i))" \
      --announce 127.0.0.1:17401 2>/dev/null >/dev/null &
    pids+=("$!")
  done
done >"$work/site.ini"
until "$work/ff" apply --control 127.0.0.1:17400 --file "$work/site.ini" >/dev/null 2>&1; do sleep 0.2; done
"$work/ff" entry --name e --listen 127.0.0.1:17432 --control 127.0.0.1:17400 2>"$work/entry.log" &
entry=$!
pids+=("$entry")
sleep 8

# ticks PID: processor time used so far, in hundredths of a second.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print int($2 / 1024)}' "/proc/$1/status"; }
c0=$(ticks "$control") e0=$(ticks "$entry")
sleep "$seconds"
c1=$(ticks "$control") e1=$(ticks "$entry")
echo "groups=$groups seconds=$seconds control: $(((c1 - c0) * 10 / seconds)) ms/s, $(resident "$control") MB;" \
  "entry: $(((e1 - e0) * 10 / seconds)) ms/s, $(resident "$entry") MB"
