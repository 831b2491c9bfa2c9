#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption; review/standins/Case.java reads the variable.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
exec "$here/../start.sh" SpoiledLoadCase "$here"
