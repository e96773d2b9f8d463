"""
The clock that intervals are measured by.

"""

import time


def elapsed_s() -> float:
    """
    Seconds since the machine started, also those in which it was suspended: an entry that
    slept for 5 s would else send on weights that have ended, and take loads and leases
    from before for new. Time of day may jump; this does not.

    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
