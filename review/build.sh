#!/bin/sh
# Compiles the stand-ins of all cases with the JDK alone; run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standins/topazvalve/review/*.java
