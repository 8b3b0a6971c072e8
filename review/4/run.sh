#!/usr/bin/env bash
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if not, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/target/classes ] || { echo "run review/build.sh first"; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 110 java -Xmx512m -Djava.io.tmpdir="$temporary" -cp review/target/classes review.EarlyChannels review/4
result=$?
[ $result -le 1 ] && exit $result
exit 2
