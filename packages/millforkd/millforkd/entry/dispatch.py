"""
From a call to an answer: choose, attempt, retry by verdict.

"""

import itertools
from dataclasses import replace
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, RequestId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend, BusyNotice, choose
from millfork_routing.retries import RetryBudget, may_retry
from millfork_settings.models import RoutingSettings
from millfork_state.view import View
from millfork_wire.connection import Connection
from millfork_wire.messages import End, Head, Part
from millforkd.entry.attempts import Attempt, Call, Lost, TurnedAway
from millforkd.entry.book import EndpointBook
from millforkd.entry.crashes import Crashes
from millforkd.entry.delivery import Delivery

SUSPECT_S: Final = 3.0
# Of the key of an entry that shares with no other what it knows of calls.
KEY_BYTES: Final = 32
BUSY_MEMORY_S: Final = 0.05
SUSPICIOUS: Final = frozenset({Reason.UNREACHABLE, Reason.TIMED_OUT, Reason.CONNECTION_LOST})


class Dispatch:
    """
    The attempts of this entry.

    """

    def __init__(
        self,
        env: Environment,
        settings: RoutingSettings,
        book: EndpointBook,
        crashes: Crashes | None = None,
    ) -> None:
        self.env = env
        self.settings = settings
        self.book = book
        self.budget = RetryBudget(settings.retry_ratio, settings.retry_floor, env.monotonic)
        self.crashes = crashes or Crashes(env, env.random.randbytes(KEY_BYTES), View(), lambda: 1)
        self.attempts: dict[str, Attempt] = {}
        self.numbers = itertools.count(1)
        self.seed = f'{env.random.getrandbits(48):012x}'

    async def on_event(self, connection: Connection, message: Head | Part | End) -> None:
        """
        Give an endpoint's event to the attempt it belongs to; a late one
        belongs to none and is dropped.

        """
        attempt = self.attempts.get(message.request_id)
        if attempt is None or attempt.connection is not connection:
            self.env.metrics.count(self.env.metrics.wire, event='late_answer')
            return
        await attempt.take(message)

    async def on_closed(self, connection: Connection) -> None:
        for attempt in list(self.attempts.values()):
            if attempt.connection is connection:
                await attempt.take(Lost())

    async def run(self, call: Call, delivery: Delivery) -> Refusal | None:
        """
        Deliver an answer to the call; a refusal is final and says whether
        any attempt may have run.

        """
        refusal = await self._run(call, delivery)
        if isinstance(refusal, TurnedAway):
            delivery.response = refusal.response
            return None
        return refusal

    async def _run(self, call: Call, delivery: Delivery) -> Refusal | None:
        tried: set[InstanceId] = set()
        last: Refusal | None = None
        may_have_run = False
        self.budget.note_request(call.organisation, call.service)
        while True:
            barred = self.crashes.bars(call)
            if barred is not None:
                refusal = barred
                break
            backend = self._choose(call, tried)
            if backend is None:
                refusal = last or self._no_endpoint(call)
                break
            if last is not None and not self._may_spend(call, last):
                refusal = replace(last, reason=Reason.RETRY_BUDGET)
                break
            known = self.crashes.known(call)
            refusal_or_none = await self._attempt(call, backend, delivery)
            await self.crashes.note(call, known, refusal_or_none)
            if refusal_or_none is None:
                return None
            last = refusal_or_none
            refusal = last
            may_have_run = may_have_run or last.verdict is not Verdict.NOT_RUN
            tried.add(backend.instance)
            if delivery.begun or not may_retry(last, call.repeatable):
                break
            if self.env.monotonic() >= call.deadline:
                break
        if may_have_run and refusal.verdict is Verdict.NOT_RUN:
            return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
        return refusal

    def _choose(self, call: Call, tried: set[InstanceId]) -> Backend | None:
        backends = self.book.serving(call.service)
        now = self.env.monotonic()
        return choose(backends, self.env.zone, call.organisation, call.affinity, tried, now)

    def _no_endpoint(self, call: Call) -> Refusal:
        """
        Why none could be chosen, with the soonest moment one may be.

        """
        now = self.env.monotonic()
        waits = [
            busy.retry_after_ms
            for backend in self.book.serving(call.service)
            if (busy := backend.busy_for(call.organisation, now)) is not None
        ]
        if waits:
            return Refusal(Reason.BUSY, detail='all are busy', retry_after_ms=min(waits))
        return Refusal(Reason.NO_ENDPOINT, detail='no endpoint serves this at the moment')

    def _may_spend(self, call: Call, last: Refusal) -> bool:
        if not self.budget.spend(call.organisation, call.service):
            return False
        self.env.metrics.retried(last.reason)
        return True

    async def _attempt(self, call: Call, backend: Backend, delivery: Delivery) -> Refusal | None:
        connection = self.book.connections.get(backend.instance)
        if connection is None:
            return Refusal(Reason.UNREACHABLE, detail='an endpoint went away')
        request_id = RequestId(f'{self.env.instance}-{self.seed}-{next(self.numbers)}')
        attempt = Attempt(self.env, request_id, backend, connection)
        self.attempts[request_id] = attempt
        backend.own_requests += 1
        sent_at = self.env.monotonic()
        try:
            refusal = await self._attempt_steps(call, attempt, delivery)
        finally:
            backend.own_requests -= 1
            del self.attempts[request_id]
            if attempt.started and not attempt.ended:
                await self.env.spawn(self._call_off, call, attempt)
            else:
                self._note_called_off(call, attempt)
        if refusal is None:
            backend.note_accepted(sent_at)
            return None
        if isinstance(refusal, TurnedAway):
            backend.note_turned_away(sent_at, self.env.monotonic())
            return refusal
        self._learn(call, backend, refusal)
        return refusal

    async def _call_off(self, call: Call, attempt: Attempt) -> None:
        await attempt.cancel()
        self._note_called_off(call, attempt)

    def _note_called_off(self, call: Call, attempt: Attempt) -> None:
        if attempt.called_off_at:
            self.crashes.note_left(call, attempt.request_id, attempt.called_off_at)

    async def _attempt_steps(
        self, call: Call, attempt: Attempt, delivery: Delivery
    ) -> Refusal | None:
        timeout = self.settings.reserve_timeout_ms / 1000
        refusal = await attempt.reserve(call, timeout)
        if refusal is not None:
            return refusal
        refusal = await attempt.start()
        if refusal is not None:
            return refusal
        return await delivery.deliver(attempt, call.deadline)

    def _learn(self, call: Call, backend: Backend, refusal: Refusal) -> None:
        now = self.env.monotonic()
        if refusal.reason in SUSPICIOUS:
            backend.suspect_until = now + SUSPECT_S
        if refusal.reason is Reason.BUSY:
            backend.busy[call.organisation] = BusyNotice(now + BUSY_MEMORY_S, refusal.wait_ms)
        if refusal.reason is Reason.RESTING:
            backend.busy[call.organisation] = BusyNotice(
                now + refusal.wait_ms / 1000, refusal.wait_ms
            )
        if refusal.reason is Reason.LEAVING:
            backend.leaving = True
