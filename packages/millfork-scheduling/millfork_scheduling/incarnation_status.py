"""
Whether an incarnation of a back end has ended after one of its answers broke off.

Probing the address isn't enough: a large process that is being torn down accepts connections
for a second or more after its open connections are gone, and the next process may take over the
address unnoticed. Later answers, reports and leases show whether the incarnation lives on.

"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

from millfork_scheduling.server import Server

# Data that a back end sent before it ended may be read up to this much later: a busy entry reads
# all data that has arrived in the meantime at once.
READ_DELAY_S: Final = 0.1
# A daemon's report may describe the engine as it was up to this long before the report arrived.
REPORT_LAG_S: Final = 1.0
# This long after a back end ended, its lease has expired and this entry knows that.
LEASE_EXPIRED_S: Final = 6.0


class IncarnationStatus(Enum):
    """
    Whether an incarnation has ended, as far as this process knows.

    """

    ENDED = 'ended'
    LIVES = 'lives'
    UNKNOWN = 'unknown'


def determine_status(
    server: Server, since: float, known: Iterable[Server] = (), now: float = float('-inf')
) -> IncarnationStatus:
    """
    Whether `server` has ended since the moment `since` (monotonic seconds).

    `known` are the back ends that hold a lease at the moment `now` and have the same instance or
    address as `server`. If `server` still holds its lease more than `LEASE_EXPIRED_S` after
    `since`, it lives.

    """
    if server.replaced:
        return IncarnationStatus.ENDED
    for other in known:
        if other.instance != server.instance or other.is_other_incarnation(server.incarnation):
            return IncarnationStatus.ENDED
        if _was_active(other, since) or now - since > LEASE_EXPIRED_S:
            return IncarnationStatus.LIVES
    return IncarnationStatus.LIVES if _was_active(server, since) else IncarnationStatus.UNKNOWN


def _was_active(server: Server, since: float) -> bool:
    """
    Whether this entry received data that can only have been sent after `since`: by the back end,
    or by the daemon beside it if the back end's incarnation is known.

    """
    if any(sent_at > since for sent_at in server.answered.values()):
        return True
    if server.last_received_at > since + READ_DELAY_S:
        return True
    return bool(server.incarnation) and server.reported_at > since + REPORT_LAG_S
