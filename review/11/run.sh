#!/usr/bin/env bash
# Plays case 11, see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/srsidecar ] && [ -x target/review-3/standin3 ] || { echo "build first"; exit 2; }
exec timeout 110 target/review-3/standin3 11 review/11/record.txt
