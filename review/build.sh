#!/bin/sh
# Lays out the earlier build that case 5 upgrades from, out of the repository's history, and
# checks that the stand-ins compile. They use Python's standard library only.
cd "$(dirname "$0")/.." || exit 1
build=902e8bd
if [ ! -e "target/review/$build/platform/start.py" ]; then
    mkdir -p "target/review/$build"
    git archive "$build" packages platform deploy | tar -x -C "target/review/$build" ||
        echo "no history with $build: case 5 cannot run" >&2
fi
exec python3 -c "
import pathlib
for path in pathlib.Path('review').rglob('*.py'):
    compile(path.read_text(), str(path), 'exec')
"
