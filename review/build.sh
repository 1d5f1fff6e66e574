#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file, whose libraries they use.
set -euo pipefail
cd -- "$(dirname -- "$(readlink -f -- "${BASH_SOURCE[0]}")")/.."
mkdir -p review/out
javac -d review/out -cp 'target/lib/*' review/standin/*.java
