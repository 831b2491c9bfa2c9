#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
classes=../target/review-standins
rm -rf "$classes"
mkdir -p "$classes"
javac --release 17 -d "$classes" standins/*.java
