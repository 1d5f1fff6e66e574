#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2; the libraries are those of the deployed build.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -cp 'target/lib/*' -d target/review-2 review/harness-2/*.java
