"""
The clock for measuring intervals.

"""

import time
from typing import Final

# The time (monotonic seconds) of an event about which nothing tells when it happened.
LONG_AGO: Final = float('-inf')
# The largest age that a message can carry, which is also the age of a configuration that was never
# up to date.
MAX_AGE_MS: Final = 2**32 - 1


def elapsed_s() -> float:
    """
    Return the seconds since the machine started, including the time it was suspended. With a
    clock that stops during suspension, an entry that was suspended for 5 s would send requests
    to weights past their cutoff and treat old load figures and leases as new. Unlike the time of
    day, this clock doesn't jump.

    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
