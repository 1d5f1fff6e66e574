#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd -- "$(dirname -- "$(readlink -f -- "${BASH_SOURCE[0]}")")/../.." || exit 2
exec java -cp 'review/out:target/lib/*' Main 3
