#!/bin/sh
# Runs the case whose number is given: run-case.sh N. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
program="$root/review/bin/case$1"
[ -n "$run" ] && [ -x "$program" ] && [ -x "$root/bin/otterstep" ] || {
	echo "build the project and run review/build.sh first" >&2
	exit 2
}
exec "$program" "$root" "$run" "$root/review/$1/record.txt"
