"""
Explains where a request would be sent now, and why each other back end is passed over.

The explanation runs the same choice as a request would, on a copy of the server table, so it can't
differ from the choice by a rule that it forgot. The reason why a back end is passed over is
determined apart from it, as a choice only yields the back end that it chose.

"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from millfork_core.ids import ServiceName, ZoneId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_registry.records import Lease, LeaseState
from millfork_routing.documents import EngineSpec
from millfork_scheduling.admission import StartEstimate, is_worth_sending, overdue_ms
from millfork_scheduling.no_server import no_server_refusal
from millfork_scheduling.paths import Path
from millfork_scheduling.placement import (
    Choice,
    Requirements,
    expected_start,
    version_ends_before_start,
)
from millfork_scheduling.retry_after import full_engines_wait_ms
from millfork_scheduling.server import Server
from millfork_scheduling.server_table import ServerTable
from millfork_scheduling.table_copy import copy_table


class PassedOver(Enum):
    """
    Why a back end is not chosen for a request.

    """

    DRAINING = 'draining'
    EXPIRED = 'expired'
    GONE = 'gone'
    # Closed by its own signals or state: the names of `ClosureReason`.
    LEAVING = 'leaving'
    RESTING = 'resting'
    LIMITED = 'limited'
    COLD = 'cold'
    EVACUATED = 'evacuated'
    OUT_OF_REGION = 'out_of_region'
    CHANGING_WEIGHTS = 'changing_weights'
    NO_WEIGHTS = 'no_weights'
    # The version that it holds is no longer used, or ends before the request would begin.
    VERSION_ENDED = 'version_ended'
    VERSION_ENDS_SOON = 'version_ends_soon'
    # It refused a request for the version that it holds a moment ago.
    VERSION_REFUSED = 'version_refused'
    # The other engine of its path can't be used, or requests enter the path there.
    PARTNER_UNUSABLE = 'partner_unusable'
    SECOND_OF_PATH = 'second_of_path'
    # Avoided after failures or rejections, or because it was silent, and others are usable.
    AVOIDED = 'avoided'
    SILENT = 'silent'
    # The first token would be late, and the few free slots are kept for requests in time.
    FULL = 'full'


LEASE_REASONS = {
    LeaseState.DRAINING: PassedOver.DRAINING,
    LeaseState.EXPIRED: PassedOver.EXPIRED,
    LeaseState.GONE: PassedOver.GONE,
}


@dataclass(frozen=True, slots=True)
class ExplainedServer:
    """
    One back end of the request's service: why it is passed over (None: it is usable), the time
    until its closure ends in seconds (None: unknown, or not closed), the requests there, and the
    expected time to the first token in ms (None: not an engine, or it can't begin the request).

    """

    instance: str
    zone: ZoneId
    reason: PassedOver | None
    opens_in_s: float | None = None
    occupied: int = 0
    slots: int = 0
    version: int | None = None
    expected_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Explanation:
    """
    The back ends of the request's service by instance, and either the choice or the refusal.

    """

    servers: list[ExplainedServer]
    choice: Choice | None = None
    refusal: Refusal | None = None


def explain_route(
    table: ServerTable,
    leases: Iterable[Lease],
    requirements: Requirements,
    target_ms: float,
    random: Random,
) -> Explanation:
    """
    Explain where a request would be sent that arrives now, as its caller's first try, with
    `target_ms` until its first token is due. `leases` are all known leases; `random` is a copy of
    the generator of the table. The table is not changed.

    """
    # One copy for both, so that a back end whose permits are refilled at random has one state.
    copied = copy_table(table, requirements.service, random)
    servers = _explain_servers(copied, leases, requirements, target_ms)
    candidates = copied.sample_candidates(requirements, set())
    choice = copied.choose(requirements, set(), candidates or None)
    if choice is None:
        return Explanation(servers, refusal=no_server_refusal(copied, requirements, random))
    if requirements.engine is None:
        return Explanation(servers, choice)
    wait_ms = _wait_ms(copied, choice, target_ms, random)
    if wait_ms:
        freest = copied.freest_candidates(requirements, set())
        choice = (copied.choose(requirements, set(), freest) if freest else None) or choice
        wait_ms = _wait_ms(copied, choice, target_ms, random)
    if wait_ms:
        detail = 'all servers are busy'
        return Explanation(servers, refusal=Refusal(Reason.BUSY, Verdict.NOT_RUN, detail, wait_ms))
    return Explanation(servers, choice)


def _start_estimate(table: ServerTable, choice: Choice, target_ms: float) -> StartEstimate:
    server = choice.server
    now = table.monotonic()
    return StartEstimate(
        choice.first_token_ms,
        target_ms,
        server.likely_occupied(now, table.entries()),
        server.slots,
        (now - server.reported_at) * 1000,
    )


def _wait_ms(table: ServerTable, choice: Choice, target_ms: float, random: Random) -> int:
    estimate = _start_estimate(table, choice, target_ms)
    if is_worth_sending(estimate):
        return 0
    return full_engines_wait_ms(overdue_ms(estimate), random)


def _explain_servers(
    table: ServerTable, leases: Iterable[Lease], requirements: Requirements, target_ms: float
) -> list[ExplainedServer]:
    servers = table.index.by_service.get(requirements.service, [])
    paths: list[Path] = []
    if requirements.engine is not None:
        paths = table.current_paths(
            requirements.service, requirements.engine, requirements.newest_version
        )
    reasons = {server.instance: _reason(table, server, requirements, paths) for server in servers}
    now = table.monotonic()
    # Avoided back ends are used if no other can serve the request.
    if any(reasons[server.instance] is None and not server.is_avoided(now) for server in servers):
        for server in servers:
            if reasons[server.instance] is None and server.is_avoided(now):
                is_silent = now < server.silent_until
                reasons[server.instance] = PassedOver.SILENT if is_silent else PassedOver.AVOIDED
    usable = [server for server in servers if reasons[server.instance] is None]
    path_by_member = {member.instance: path for path in paths for member in path.servers}
    rows = []
    for server in servers:
        reason = reasons[server.instance]
        estimate: StartEstimate | None = None
        if reason is None and requirements.engine is not None:
            path = path_by_member.get(server.instance)
            reason, estimate = _reason_at_start(
                table, server, path, usable, requirements, requirements.engine, target_ms
            )
        rows.append(_explained(table, server, reason, requirements, estimate))
    for lease in leases:
        reason = LEASE_REASONS.get(lease.state)
        if ServiceName(lease.service) == requirements.service and reason is not None:
            rows.append(ExplainedServer(lease.instance, ZoneId(lease.zone), reason))
    return sorted(rows, key=lambda row: row.instance)


def _reason(
    table: ServerTable, server: Server, requirements: Requirements, paths: list[Path]
) -> PassedOver | None:
    """
    Why a back end can't serve a request, whatever the other back ends are; None if it can.

    """
    closure = table.closure(server)
    if closure is not None:
        return PassedOver(closure.closure_reason.value)
    if not table.is_in_allowed_region(server, requirements):
        return PassedOver.OUT_OF_REGION
    engine = requirements.engine
    if engine is None:
        return None
    if server.changes_version:
        return PassedOver.CHANGING_WEIGHTS
    members = [server]
    version = server.newest_complete_version(engine.layers)
    if version is None:
        path = next((path for path in paths if server in path.servers), None)
        if path is None:
            return PassedOver.NO_WEIGHTS
        members, version = path.servers, path.version
    if not all(table.is_in_allowed_region(member, requirements) for member in members):
        return PassedOver.OUT_OF_REGION
    if version < requirements.min_version:
        return PassedOver.VERSION_ENDED
    now = table.monotonic()
    if any(member.refused.get(version, now) > now for member in members):
        return PassedOver.VERSION_REFUSED
    return None


def _reason_at_start(
    table: ServerTable,
    server: Server,
    path: Path | None,
    usable: list[Server],
    requirements: Requirements,
    engine: EngineSpec,
    target_ms: float,
) -> tuple[PassedOver | None, StartEstimate | None]:
    """
    Why a request would not begin at an engine that can serve it, and the estimate of its start.

    """
    if server.newest_complete_version(engine.layers) is not None:
        path = None
    elif path is not None and server is path.second:
        return PassedOver.SECOND_OF_PATH, None
    elif path is None or path.second not in usable:
        return PassedOver.PARTNER_UNUSABLE, None
    context = table.selection_context(requirements.service)
    choice, expected_ms = expected_start(server, requirements, engine, path, context)
    estimate = _start_estimate(table, choice, target_ms)
    if version_ends_before_start(choice, expected_ms, requirements, engine, context.now):
        return PassedOver.VERSION_ENDS_SOON, estimate
    return (None if is_worth_sending(estimate) else PassedOver.FULL), estimate


def _explained(
    table: ServerTable,
    server: Server,
    reason: PassedOver | None,
    requirements: Requirements,
    estimate: StartEstimate | None,
) -> ExplainedServer:
    closure = table.closure(server)
    opens_in_s = closure.opens_in_s if closure is not None else None
    engine = requirements.engine
    return ExplainedServer(
        str(server.instance),
        server.zone,
        reason,
        opens_in_s if opens_in_s != float('inf') else None,
        server.likely_occupied(table.monotonic(), table.entries()),
        server.slots,
        server.newest_complete_version(engine.layers) if engine is not None else None,
        estimate.expected_ms if estimate is not None else None,
    )
