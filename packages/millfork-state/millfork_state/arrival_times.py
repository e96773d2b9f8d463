"""
When entries that raise a key to a version came into a replica's log.

What follows from a version counts from when it was acknowledged. A leader that was elected
since learns of it as it commits the entry, up to an election later; the entry itself came
before the acknowledgement, or as soon after it as messages take.

"""

from collections.abc import Callable
from typing import Final

from millfork_state.commands import AnyCommand, Raise

# Versions and documents change some ten thousand times a day; an entry is committed, or
# replaced, within seconds.
MAX_ARRIVAL_TIMES: Final = 256


class ArrivalTimes:
    """
    The log index and the time (monotonic seconds) of each, by key and version.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.received: dict[tuple[str, int], tuple[int, float]] = {}

    def record(self, index: int, command: AnyCommand) -> None:
        """
        An entry came into the log; the first of a key's version counts.

        """
        if not isinstance(command, Raise):
            return
        if len(self.received) >= MAX_ARRIVAL_TIMES:
            del self.received[next(iter(self.received))]
        self.received.setdefault((command.key, command.version), (index, self.monotonic()))

    def discard_from(self, index: int) -> None:
        """
        The entries from an index on were replaced.

        """
        self.received = {key: came for key, came in self.received.items() if came[0] < index}

    def find(self, key: str, version: int) -> float | None:
        """
        When the entry came that raised a key to a version, if it is remembered.

        """
        came = self.received.get((key, version))
        return came[1] if came is not None else None
