#!/usr/bin/env bash
# TROUBLE=0 ends the trailer after 8,000 bytes. Exit: 1 broken, 0 held, 2 could not run.
exec python3 -B "$(dirname "$0")/case.py"
