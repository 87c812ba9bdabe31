#!/usr/bin/env bash
# Builds what the review's scripts start: the stand-ins are Python files without
# dependencies, so they are only compiled, which shows that this Python can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]
