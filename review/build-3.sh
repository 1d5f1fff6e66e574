#!/usr/bin/env bash
# Builds the stand-ins of review/harness-3 into target/review-3, after the build of the deploy file.
set -euo pipefail

cd -- "$(dirname -- "${BASH_SOURCE[0]}")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -d target/review-3 -cp 'target/lib/*' review/harness-3/*.java
