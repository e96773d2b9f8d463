"""
The times at which log entries that set a version (`Raise`) arrived at a replica.

A version's time limits count from the acknowledgement of its `Raise`. A leader elected after the
acknowledgement may apply the log entry as much as one election later. The arrival of the log entry
is closer to the acknowledgement: before it, or after it by no more than the time that messages
take.

For log entries found in the files at the start, the time is unknown, as nothing tells for how long
the replica was down. The same holds for log entries of which only a snapshot arrived. A log entry
that was committed before it arrived may have been acknowledged long before; it counts as arrived
when the replica had last applied all committed log entries.

"""

from collections.abc import Callable
from typing import Final

from millfork_core.clocks import LONG_AGO
from millfork_state.commands import AnyCommand, Raise

# The most arrival times that are kept; the oldest is dropped first. Model versions and documents
# (configurations with routes) change about ten thousand times a day in total, and a log entry is
# committed or replaced within seconds.
MAX_ARRIVAL_TIMES: Final = 256


class ArrivalTimes:
    """
    The log index and arrival time (monotonic seconds) of each `Raise`, by its key and version.

    """

    def __init__(self, monotonic: Callable[[], float]) -> None:
        self.monotonic = monotonic
        self.arrivals: dict[tuple[str, int], tuple[int, float]] = {}

    def record(self, index: int, command: AnyCommand, arrived_at: float | None = None) -> None:
        """
        Record that the log entry at `index` arrived at `arrived_at` (monotonic seconds; None: now).
        Commands other than `Raise` are ignored, and only the first log entry for a key and version
        counts.

        """
        if not isinstance(command, Raise):
            return
        if len(self.arrivals) >= MAX_ARRIVAL_TIMES:
            del self.arrivals[next(iter(self.arrivals))]
        at = self.monotonic() if arrived_at is None else arrived_at
        self.arrivals.setdefault((command.key, command.version), (index, at))

    def discard_from(self, index: int) -> None:
        """
        Discard the times of log entries from `index` on, which another leader replaced.

        """
        self.arrivals = {
            key: arrival for key, arrival in self.arrivals.items() if arrival[0] < index
        }

    def find(self, key: str, version: int) -> float:
        """
        The arrival time (monotonic seconds) of the log entry that sets a key to a version;
        `LONG_AGO` if the time isn't known.

        """
        arrival = self.arrivals.get((key, version))
        return arrival[1] if arrival is not None else LONG_AGO
