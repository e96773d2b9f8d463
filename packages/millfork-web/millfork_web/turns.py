"""
Turns of other tasks while a task parses data.

Receiving doesn't suspend a task while data is there, so parsing alone would keep all other tasks
from running for as long as the peer sends.

"""

from typing import Final

import curio

# Parsing this many events takes about 3 ms.
EVENTS_PER_TURN: Final = 256


class Turns:
    """
    Lets other tasks run after each `EVENTS_PER_TURN` events that a task parses.

    """

    def __init__(self) -> None:
        self.events = 0

    async def count_event(self) -> bool:
        """
        Count one event. Returns whether other tasks had a turn.

        """
        self.events += 1
        if self.events % EVENTS_PER_TURN:
            return False
        await curio.sleep(0)
        return True
