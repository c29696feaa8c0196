#!/usr/bin/env bash
# TROUBLE=0 names a prompt of 198,974 tokens in place of 10,000,000,000. Exit: 1 broken, 0 held, 2 could not run.
exec python3 -B "$(dirname "$0")/case.py"
