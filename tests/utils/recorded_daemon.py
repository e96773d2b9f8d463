"""
Starts a daemon whose replica records the writes and syncs of its log, see `power`.

"""

import runpy
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), *(str(path) for path in (ROOT / 'packages').iterdir())]

from millfork_state import storage  # noqa: E402
from tests.utils.power import RecordedStorage  # noqa: E402

if __name__ == '__main__':
    storage.Storage = RecordedStorage
    runpy.run_path(str(ROOT / 'deploy' / 'millforkd.py'), run_name='__main__')
