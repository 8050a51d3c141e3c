#!/bin/sh
# Builds the stand-ins of all cases into review/bin. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [0-9]*/; do
	go build -o "bin/case${case%/}" "./${case%/}"
done
