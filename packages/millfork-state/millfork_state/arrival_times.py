"""
When the entries that raise a key to a version arrived in a replica's log.

The time limits of a version count from when it was acknowledged. A leader elected after that
applies the entry only as it commits it, up to an election later. The entry itself arrived
before the acknowledgement, or later only by the time that messages take.

"""

from collections.abc import Callable
from typing import Final

from millfork_state.commands import AnyCommand, Raise

# Versions and documents change some ten thousand times a day. An entry is committed, or
# replaced, within seconds.
MAX_ARRIVAL_TIMES: Final = 256


class ArrivalTimes:
    """
    The log index and arrival time (monotonic seconds) of entries, by key and version.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.received: dict[tuple[str, int], tuple[int, float]] = {}

    def record(self, index: int, command: AnyCommand) -> None:
        """
        Record the arrival of an entry. Only the first for a key and version counts.

        """
        if not isinstance(command, Raise):
            return
        if len(self.received) >= MAX_ARRIVAL_TIMES:
            del self.received[next(iter(self.received))]
        self.received.setdefault((command.key, command.version), (index, self.monotonic()))

    def discard_from(self, index: int) -> None:
        """
        Discard the entries from an index on, which another leader replaced.

        """
        self.received = {
            key: arrival for key, arrival in self.received.items() if arrival[0] < index
        }

    def find(self, key: str, version: int) -> float | None:
        """
        The arrival time of the entry that raised a key to a version, or None if unknown.

        """
        arrival = self.received.get((key, version))
        return arrival[1] if arrival is not None else None
