"""
The refusal of a request that no back end can serve now.

"""

from random import Random

from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_scheduling.placement import Requirements
from millfork_scheduling.retry_after import closed_wait_ms, no_server_wait_ms
from millfork_scheduling.server_table import ServerTable


def no_server_refusal(table: ServerTable, requirements: Requirements, random: Random) -> Refusal:
    """
    The refusal of a request that was sent to no back end. If back ends closed themselves by
    backpressure signals, the caller is told to wait until the first of them opens; that wait has a
    maximum.

    """
    closure = table.first_to_open(requirements)
    if closure is not None:
        wait_ms = closed_wait_ms(closure, random)
        reason = Reason(closure.closure_reason.value)
        return Refusal(reason, Verdict.NOT_RUN, 'no server takes more requests', wait_ms)
    wait_ms = no_server_wait_ms(random)
    if requirements.regions is not None and not table.allowed_region_exists(requirements):
        detail = 'no server is in a region that may serve the request'
        return Refusal(Reason.OUT_OF_REGION, Verdict.NOT_RUN, detail, wait_ms)
    return Refusal(Reason.NO_ENDPOINT, Verdict.NOT_RUN, 'no server is available', wait_ms)
