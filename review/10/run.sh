#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
exec sh "$(dirname -- "$0")/../common-2/run.sh" 10
