#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. They use the JDK only.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
