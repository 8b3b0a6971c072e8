#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -f target/review-2/CrashBurst.class && -f target/mimosatrail-platform/entry.jar ]] || exit 2
exec java -Drecord=review/10/record.txt -cp target/review-2 CrashBurst
