#!/usr/bin/env bash
# Compiles the stand-ins of the scripts; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
