#!/bin/sh
# Runs the case of the folder that is given, for 120 s at most. Exit status: 0 the rule held, 1 it was broken,
# 2 the case could not run.
review=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
number=$1
if [ ! -f "$review/common-2/target/Case$number.class" ] || [ ! -f "$review/../sidecar/target/topazvalve-sidecar.jar" ]; then
    echo "call the build line of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
timeout 115 java -Xmx512m -XX:-UsePerfData -Djava.net.preferIPv4Stack=true \
    -cp "$review/common-2/target" "Case$number" "$review/$number"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
