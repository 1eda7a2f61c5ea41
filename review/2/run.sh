#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")"
[ -f ../../target/hyssoprack.jar ] && [ -f ../out/Deployment.class ] || exit 2
exec java -Xmx256m -cp ../out LateRefusal ../.. record.txt
