#!/usr/bin/env bash
# Runs a case's script five times with the disruption and once without, and prints the exit statuses.
cd "$(dirname "$0")"
for i in 1 2 3 4 5; do "$1/run.sh" > /dev/null; echo "$1 with: $?"; done
TROUBLE=0 "$1/run.sh" > /dev/null; echo "$1 without: $?"
