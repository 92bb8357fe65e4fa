#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins-2/run-case.sh" "$(dirname "$0")"
