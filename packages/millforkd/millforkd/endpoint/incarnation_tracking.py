"""
Determines whether the back end of an endpoint ended after an answer broke off or the entry
cancelled a request.

"""

import itertools
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from millfork_core.environment import Environment
from millfork_core.ids import IncarnationKey, RequestId
from millfork_core.logs import Component, logger
from millfork_scheduling.incarnation_status import IncarnationStatus
from millfork_wire.connection import Connection, PeerLost
from millfork_wire.messages import BackEndFate
from millforkd.end_watch import (
    CALLER_LEFT_WATCH_S,
    EndWatch,
    Interruption,
    ProbeResult,
    probe_address,
)

UNKNOWN_INCARNATION = ''

log = logger(Component.ENDPOINT)


@dataclass(slots=True)
class InterruptedRequest:
    """
    A request whose answer broke off or that was cancelled, with the connection to its entry.
    `incarnation_number` is the number of the back end's incarnation that the request was sent to,
    and `status` the status of that incarnation. `is_awaited` is set while `record_interruption`
    waits for the status; a status that becomes known later is sent to the entry.

    """

    request_id: RequestId
    connection: Connection
    incarnation_number: int
    status: IncarnationStatus = IncarnationStatus.UNKNOWN
    is_awaited: bool = True
    # Whether the entry cancelled the request; the back end may still be running it.
    is_cancelled: bool = False


class IncarnationTracker:
    """
    Numbers the incarnations of one back end and determines, for each interrupted request, whether
    the incarnation that ran it has ended.

    `query_incarnation` asks an engine for its incarnation; it is None for a plain service, which
    reports none.

    """

    def __init__(
        self,
        env: Environment,
        address: Callable[[], tuple[str, int]],
        query_incarnation: Callable[[], Awaitable[str]] | None = None,
    ) -> None:
        self.env = env
        self.address = address
        self.query_incarnation = query_incarnation
        # When this endpoint process started (ns since 1970). Incarnation keys contain this time, as
        # each endpoint process numbers the incarnations of its back end from 0.
        self.start = time.time_ns()
        self.current_number = 0
        # The incarnation that the back end last reported; empty if unknown.
        self.reported_incarnation = UNKNOWN_INCARNATION
        # The latest send time among the requests that the current incarnation answered (monotonic
        # seconds).
        self.last_answered_sent_at = float('-inf')
        self.watch_keys = itertools.count(1)
        self.watch: EndWatch[InterruptedRequest] = EndWatch(
            env, self._probe, self._determine_status, self._apply_status
        )
        self.is_watching = False

    def incarnation_key(self, incarnation_number: int) -> IncarnationKey:
        return IncarnationKey(f'{self.env.instance}/{self.start}.{incarnation_number}')

    def record_answer(self, sent_at: float) -> None:
        """
        Record that the back end answered a request sent at `sent_at` (monotonic seconds).

        """
        self.last_answered_sent_at = max(self.last_answered_sent_at, sent_at)

    def record_incarnation(self, incarnation: str, asked_at: float) -> None:
        """
        Record the incarnation that the back end reported to a query sent at `asked_at` (monotonic
        seconds). A changed incarnation means that the earlier one ended.

        """
        if incarnation == self.reported_incarnation:
            self.record_answer(asked_at)
            return
        if self.reported_incarnation:
            self._start_next_incarnation()
        self.reported_incarnation = incarnation

    def _start_next_incarnation(self) -> None:
        self.current_number += 1
        self.reported_incarnation = UNKNOWN_INCARNATION
        self.last_answered_sent_at = float('-inf')

    async def record_interruption(
        self, request_id: RequestId, connection: Connection, incarnation_number: int
    ) -> IncarnationStatus:
        """
        Record a request whose answer broke off, wait briefly for the first probes of the back end,
        and return the status of the incarnation that ran the request. If the status is still
        UNKNOWN, the entry is notified of the result later.

        """
        interrupted = InterruptedRequest(request_id, connection, incarnation_number)
        await self._add(interrupted)
        await self.watch.wait_until_probed()
        interrupted.is_awaited = False
        return interrupted.status

    async def _add(self, interrupted: InterruptedRequest) -> None:
        await self.watch.add(
            str(next(self.watch_keys)), interrupted, urgent=not interrupted.is_cancelled
        )
        if not self.is_watching:
            self.is_watching = True
            await self.env.spawn(self._run_watch)

    async def record_cancellation(
        self, request_id: RequestId, connection: Connection, incarnation_number: int
    ) -> None:
        """
        Record a cancelled request. The entry is later notified whether the incarnation that ran
        the request ended within `CALLER_LEFT_WATCH_S` after the cancellation.

        """
        interrupted = InterruptedRequest(
            request_id, connection, incarnation_number, is_awaited=False, is_cancelled=True
        )
        await self._add(interrupted)

    async def _run_watch(self) -> None:
        try:
            await self.watch.run()
        finally:
            self.is_watching = False

    def _determine_status(self, interrupted: Interruption[InterruptedRequest]) -> IncarnationStatus:
        if interrupted.subject.incarnation_number < self.current_number:
            return IncarnationStatus.ENDED
        if interrupted.subject.is_cancelled:
            watch_is_over = self.env.monotonic() - interrupted.at > CALLER_LEFT_WATCH_S
            return IncarnationStatus.LIVES if watch_is_over else IncarnationStatus.UNKNOWN
        return (
            IncarnationStatus.LIVES
            if self.last_answered_sent_at > interrupted.at
            else IncarnationStatus.UNKNOWN
        )

    async def _probe(self) -> ProbeResult:
        if self.query_incarnation is not None:
            asked_at = self.env.monotonic()
            incarnation = await self.query_incarnation()
            if incarnation != UNKNOWN_INCARNATION:
                self.record_incarnation(incarnation, asked_at)
                return ProbeResult.ANSWERS
        return await probe_address(*self.address())

    async def _apply_status(
        self, status: IncarnationStatus, interruptions: list[Interruption[InterruptedRequest]]
    ) -> None:
        after_ms = (self.env.monotonic() - min(item.at for item in interruptions)) * 1000
        log.info(
            'Back end status after interrupted answers: {}. requests={} after_ms={:.0f}',
            status.value,
            len(interruptions),
            after_ms,
        )
        if status is IncarnationStatus.ENDED and any(
            item.subject.incarnation_number == self.current_number for item in interruptions
        ):
            self._start_next_incarnation()
        for item in interruptions:
            item.subject.status = status
            if not item.subject.is_awaited:
                await self._notify_entry(item.subject)

    async def _notify_entry(self, interrupted: InterruptedRequest) -> None:
        try:
            await interrupted.connection.notify(
                BackEndFate(interrupted.request_id, interrupted.status is IncarnationStatus.ENDED)
            )
        except PeerLost:
            log.info(
                'Could not report the back end status, the entry is gone. id={}',
                interrupted.request_id,
            )
