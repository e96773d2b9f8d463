"""
Starts `millforkd` from this checkout, with the platform's adapter.

The packages come from the sources beside this file, never from an installed
copy; only the libraries are installed.

"""

import os
import signal
import sys
from pathlib import Path

# Until the daemon listens for signals (0.3 s): a reload has nothing to do, as the
# settings are not read yet, and a stop has nothing to end. It raises nothing, as libraries
# in C that are being imported did not survive that (2 of 60 stops ended by signal 11).
signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [ROOT / 'platform', *sorted((ROOT / 'packages').iterdir())]
sys.path[:0] = [str(path) for path in SOURCES]

from millfork_platform import PlatformAdapter  # noqa: E402
from millforkd.__main__ import main  # noqa: E402

if __name__ == '__main__':
    main(PlatformAdapter())
