#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/out. Needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -nowarn -d out standins/*.java
