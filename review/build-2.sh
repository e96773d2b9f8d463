#!/bin/bash
# The stand-ins of the cases 4 to 8 are plain Python 3.11: those in review/harness use the standard
# library only, those of review/lib-2 are the project's own (packages/millfork-standins) and use the
# libraries that the build of the deploy file puts under target/deps. So nothing has to be built. This
# checks that they compile, and that what they need is there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
review = pathlib.Path('review')
for pattern in ('harness/*.py', 'lib-2/*.py', '[4-8]/*.py', 'left-out/*/*.py'):
    for path in review.glob(pattern):
        compile(path.read_text(), str(path), 'exec')
if not pathlib.Path('target/deps').is_dir():
    sys.exit('target/deps is missing: run the build of deploy/system.toml first')
sources = [pathlib.Path('platform'), *sorted(pathlib.Path('packages').iterdir())]
sys.path[:0] = [str(path) for path in (*sources, pathlib.Path('target/deps'))]
import millfork_standins.seeded
CHECK
