#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)
root=$(CDPATH='' cd -- "$here/../.." && pwd)
[ -d "$root/review/target/classes" ] || { echo "run review/build.sh first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
java -Xmx256m -cp "$root/review/target/classes" topazvalve.review.ShutdownUploads "$root" "$work" "$here/record.txt" &
pid=$!
trap 'kill $pid 2> /dev/null; wait $pid' INT TERM
wait $pid
status=$?
rm -rf "$work"
[ "$status" -le 1 ] || status=2
exit "$status"
