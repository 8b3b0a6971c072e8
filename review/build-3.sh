#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
