#!/bin/sh
# Checks that the stand-ins compile. They use Python's standard library only.
cd "$(dirname "$0")" && exec python3 -c "
import pathlib
for path in pathlib.Path('.').rglob('*.py'):
    compile(path.read_text(), str(path), 'exec')
"
