#!/bin/bash
# The stand-ins of the cases 4 to 8 are plain Python 3.11 in review/harness and use the standard
# library only, so nothing has to be built. This checks that they compile and that the build of the
# deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for path in [*pathlib.Path('review/harness').glob('*.py'), *pathlib.Path('review').glob('[4-8]/*.py')]:
    compile(path.read_text(), str(path), 'exec')
if not pathlib.Path('target/deps').is_dir():
    sys.exit('target/deps is missing: run the build of deploy/system.toml first')
CHECK
