"""
Whether an incarnation of a back end under which an answer broke off has ended.

An address says little: while a large process is torn down it takes connections for a second
or more after those it had are gone, and the next process may take it over unnoticed. What
answers, or lives at its place, later on tells.

"""

from collections.abc import Iterable
from enum import Enum
from typing import Final

from millfork_scheduling.server import Server

# What a back end sent before it ended may be read this much later, as all that came
# while this entry was busy is read at once.
READ_DELAY_S: Final = 0.1
# A daemon tells what its engine said up to this long ago.
REPORT_LAG_S: Final = 1.0
# The lease of a back end that ended has run out by then, also here.
LEASE_EXPIRED_S: Final = 6.0


class IncarnationStatus(Enum):
    """
    What became of an incarnation.

    """

    ENDED = 'ended'
    LIVES = 'lives'
    UNKNOWN = 'unknown'


def determine_status(
    server: Server, since: float, known: Iterable[Server] = (), now: float = float('-inf')
) -> IncarnationStatus:
    """
    What became of a back end since a moment, in monotonic seconds; `known` are the back ends
    with a lease now that have its id or its address.

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
    Whether something came from a back end that it can only have sent after a moment.

    """
    if any(sent_at > since for sent_at in server.answered.values()):
        return True
    if server.last_received_at > since + READ_DELAY_S:
        return True
    return bool(server.incarnation) and server.reported_at > since + REPORT_LAG_S
