#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -x target/bin/heatherspan-gateway && -x target/review-2/11 ]] || exit 2
exec timeout -k 5 120 target/review-2/11 review/11
