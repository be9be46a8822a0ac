#!/bin/sh
# Runs every check: formatter, linter, types, tests. Stops at the first failure.
# Usage: tools/run_checks.sh PYTHON
set -eu
python=$1
sources="packages platform tools tests conftest.py"
export HYPOTHESIS_PROFILE="${HYPOTHESIS_PROFILE:-ci}"
# shellcheck disable=SC2086
"$python" -m isort --check-only --quiet $sources
# shellcheck disable=SC2086
"$python" -m black --check --quiet $sources
# shellcheck disable=SC2086
"$python" -m flake8 $sources
# shellcheck disable=SC2086
"$python" -m mypy $sources
if [ -s KNOWN-RED.txt ]; then
    printf 'Known failures:\n'
    cat KNOWN-RED.txt
fi
"$python" -m pytest
