"""
Converts monotonic seconds to the time of day, which the daemons' logs have.

"""

import time
from datetime import UTC, datetime
from typing import Final

CLOCK_OFFSET_S: Final = time.time() - time.monotonic()


def clock_time(at: float) -> str:
    return datetime.fromtimestamp(at + CLOCK_OFFSET_S, UTC).isoformat()
