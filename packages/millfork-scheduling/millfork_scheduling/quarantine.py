"""
Which requests are sent no more, as they end the back ends that run them.

It answers a request that is at fault itself and whose callers come back, to any entry:
each send costs a back end for seconds and breaks off all that runs there. Others that ran
there are not to be refused for it: one answer that comes whole clears a request.

"""

from typing import Final

from millfork_registry.suspects import Suspicion

# One end tells nothing, as all that ran there is under suspicion.
ENDS: Final = 3


def is_at_fault(suspicion: Suspicion) -> bool:
    """
    Whether a request is taken to end whatever runs it.

    """
    return suspicion.ends >= ENDS
