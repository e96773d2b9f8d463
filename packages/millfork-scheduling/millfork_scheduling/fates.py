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
READ_LATE_S: Final = 0.1
# A daemon tells what its engine said up to this long ago.
REPORT_LAG_S: Final = 1.0
# The lease of a back end that ended has run out by then, also here.
LEASE_OUT_S: Final = 6.0


class Fate(Enum):
    """
    What became of an incarnation.

    """

    ENDED = 'ended'
    LIVES = 'lives'
    UNKNOWN = 'unknown'


def fate_of(
    server: Server, since: float, known: Iterable[Server] = (), now: float = float('-inf')
) -> Fate:
    """
    What became of a back end since a moment, in monotonic seconds; `known` are the back ends
    with a lease now that have its id or its address.

    """
    if server.replaced:
        return Fate.ENDED
    for other in known:
        if other.instance != server.instance or other.is_another(server.incarnation):
            return Fate.ENDED
        if _was_heard(other, since) or now - since > LEASE_OUT_S:
            return Fate.LIVES
    return Fate.LIVES if _was_heard(server, since) else Fate.UNKNOWN


def _was_heard(server: Server, since: float) -> bool:
    """
    Whether something came from a back end that it can only have sent after a moment.

    """
    if any(sent_at > since for sent_at in server.answered.values()):
        return True
    if server.heard_at > since + READ_LATE_S:
        return True
    return bool(server.incarnation) and server.reported_at > since + REPORT_LAG_S
