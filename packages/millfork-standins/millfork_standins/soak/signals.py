"""
Tells which signals a process handles.

"""

import signal
from pathlib import Path


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """
    Return whether a process ignores or catches a signal that would otherwise end the process.

    """
    fields = dict(
        line.split(':\t', 1) for line in Path(f'/proc/{pid}/status').read_text().splitlines()
    )
    mask = int(fields['SigIgn'], 16) | int(fields['SigCgt'], 16)
    return bool(mask >> (number - 1) & 1)
