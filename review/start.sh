#!/usr/bin/env bash
# Runs the script of a case: start.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
set -u
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
if [ ! -f "$root/target/arbutusspar.jar" ] || [ ! -d "$root/target/review-standins" ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
scratch="$(mktemp -d)" || exit 2
java -Xmx512m -cp "$root/target/review-standins" "review.$1" "$root" "$2" "$scratch"
code=$?
rm -rf "$scratch"
case "$code" in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
