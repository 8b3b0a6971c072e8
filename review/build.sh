#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of this folder start. Needs a JDK and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -d target/classes standins/review/*.java
