"""Runs one case: starts the record and the fleet, and ends all processes, whatever happens."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from fleet import Fleet, Record


def main(folder, play):
    """
    Run `play(record, fleet)`, and exit with its result: 0 if the rule held, 1 if it was broken, 2 if
    the case could not run. With KEEP_LOGS=FOLDER the logs of the processes are kept there.
    """
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    record = Record(Path(folder) / 'record.txt')
    fleet = Fleet(record)
    code = 2
    try:
        code = asyncio.run(play(record, fleet))
    finally:
        kept = os.environ.get('KEEP_LOGS')
        for machine in fleet.machines.values():
            if kept and machine.starts:
                Path(kept, f'{machine.name}.log').write_text(machine.log_text())
        fleet.stop()
        record('exit', code)
    sys.exit(code)
