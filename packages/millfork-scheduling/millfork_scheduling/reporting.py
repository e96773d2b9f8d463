"""
How often the load of engines is told.

It answers a load near or above what the engines carry, on a fleet of many entries: each
entry knows of its own requests only, and of all others by reports. What a report lacks
comes late: with loads 0.15 s old on the mean, of 98 entries before 60 engines 0.10 to 0.17
of all first tokens. A zone's own engines are the ones mostly chosen among, and telling of
them crosses no other link, so they are told of more often.

The limits keep what that costs from growing with the fleet: a daemon and a replica have so
many messages and rows a second, and where a zone has more engines, each is told of less
often, down to the pace of all others.

"""

from typing import Final

# Between regions, and to a follower of another zone: each row crosses a narrow link there.
USUAL_S: Final = 0.15
# The least between two reports of an engine to its zone. Model of 60 engines and 98 entries,
# share of first tokens in time at 0.9, 1.2 and 1.5 times what the engines carry, mean of two
# seeds: 0.816, 0.581, 0.453 with 0.15 s; 0.871, 0.635, 0.519 with 0.05 s.
LEAST_S: Final = 0.05
# Reports that a replica takes in a second: each costs it 0.3 ms, so about a tenth of the
# smallest instance that keeps one (0.645 cores).
REPORTS_PER_S: Final = 240.0
# Rows that a follower is told in a second: each costs it some 10 microseconds.
ROWS_PER_S: Final = 1200.0


def report_interval_s(daemons: int, same_zone: bool) -> float:
    """
    Between two reports of one daemon, of so many that report to the same replica.

    """
    return _within(daemons / REPORTS_PER_S) if same_zone else USUAL_S


def feed_interval_s(rows: int, same_zone: bool) -> float:
    """
    Between two messages to a follower, with so many rows that may change meanwhile.

    """
    return _within(rows / ROWS_PER_S) if same_zone else USUAL_S


def _within(seconds: float) -> float:
    return min(max(seconds, LEAST_S), USUAL_S)
