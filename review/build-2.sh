#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the JDK alone; run it after the build line of the deploy file.
set -eu
cd "$(CDPATH='' cd -- "$(dirname -- "$0")" && pwd)"
rm -rf common-2/target
mkdir -p common-2/target
javac -Xlint:all -d common-2/target common-2/*.java [0-9]*/Case*.java
