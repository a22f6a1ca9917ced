#!/bin/sh
# See claim.txt. TROUBLE=0: no node is killed or frozen.
cd "$(dirname "$0")/../.." && exec python3 review/8/case.py
