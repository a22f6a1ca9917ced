#!/bin/sh
# See claim.txt. TROUBLE=0: no storm of configurations.
cd "$(dirname "$0")/../.." && exec python3 review/6/case.py
