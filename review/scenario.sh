#!/usr/bin/env bash
# Runs one scenario of the stand-ins against the program of the deploy file: scenario.sh SCENARIO RECORD.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
if [ ! -x review/build/standin ] || [ ! -x "${program%% *}" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# shellcheck disable=SC2086  # the program and its arguments are split at spaces
timeout -k 2 115 review/build/standin "$1" "$2" "$folder" $program
code=$?
if [ "$code" -gt 1 ]; then
  exit 2
fi
exit "$code"
