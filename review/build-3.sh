#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. The programs of the deploy file are built with its own command.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/stand3
