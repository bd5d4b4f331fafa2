#!/bin/sh
# Runs the case of the folder that is given, for 120 s at most. Exit status: 0 the rule held, 1 it was broken,
# 2 the case could not run.
review=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
number=$1
if [ ! -f "$review/common-2/target/Case$number.class" ] || [ ! -f "$review/../sidecar/target/topazvalve-sidecar.jar" ]; then
    echo "call the build line of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
# Ended itself, it ends the case, which ends its sidecars.
trap 'kill -TERM "$runner" 2> /dev/null; wait "$runner"; exit 2' TERM INT HUP
timeout -k 3 112 java -Xmx512m -XX:-UsePerfData -Djava.net.preferIPv4Stack=true \
    -cp "$review/common-2/target" "Case$number" "$review/$number" &
runner=$!
wait "$runner"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
