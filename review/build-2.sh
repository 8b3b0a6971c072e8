#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and later start. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all,-serial -d target/review-2 review/standins-2/*.java
