"""
Starts `millforkd` from this checkout, with the platform's adapter.

The project's packages are imported from this checkout, never from an installed copy. Only
third-party libraries are installed.

"""

import os
import signal
import sys
from pathlib import Path

# These handlers are used until the daemon installs its own, about 0.3 s after the start. A reload
# signal is ignored, as the settings have not been read yet. A stop signal ends the process at once,
# as nothing is in progress. The handlers must not raise: C libraries crashed when an exception
# interrupted their import (2 of 60 stops ended with signal 11).
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [ROOT / 'platform', *sorted((ROOT / 'packages').iterdir())]
sys.path[:0] = [str(path) for path in SOURCES]

from millfork_platform import PlatformAdapter  # noqa: E402
from millforkd.__main__ import main  # noqa: E402

if __name__ == '__main__':
    main(PlatformAdapter())
