#!/usr/bin/env bash
# Runs the script of a case five times, and once without the disruption: five.sh FOLDER.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
for i in 1 2 3 4 5; do
  "$here/$1/run.sh" > /dev/null 2>&1
  echo "run $i: exit code $?"
done
cp "$here/$1/record.txt" "$here/$1/record.keep"
TROUBLE=0 "$here/$1/run.sh" > /dev/null 2>&1
echo "TROUBLE=0: exit code $?"
mv "$here/$1/record.keep" "$here/$1/record.txt"
