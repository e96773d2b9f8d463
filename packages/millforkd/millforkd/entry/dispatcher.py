"""
Dispatches calls to endpoints: chooses a back end for each attempt and decides about retries.

"""

import itertools
from dataclasses import replace
from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, RequestId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend, BusyNotice, choose
from millfork_routing.retries import RetryBudget, may_retry
from millfork_settings.models import RoutingSettings
from millfork_state.view import View
from millfork_wire.connection import Connection
from millfork_wire.messages import End, Head, Part
from millforkd.entry.attempts import Attempt, Call, ConnectionLost, SilentEndpoint, TurnedAway
from millforkd.entry.crash_tracking import CrashTracker
from millforkd.entry.delivery import Delivery
from millforkd.entry.endpoint_connections import EndpointConnections

# For this long, no calls are sent to an endpoint that could not be reached, and other endpoints are
# preferred to one that was silent.
AVOIDANCE_S: Final = 3.0
# Length of the random fingerprint key of a dispatcher that is built without a crash tracker. Each
# such dispatcher has a key of its own, so two of them compute different fingerprints of one call.
FINGERPRINT_KEY_BYTES: Final = 32
# An endpoint that refused a call as BUSY gets no calls of the same organisation from this entry for
# this long.
BUSY_RETENTION_S: Final = 0.05
AVOIDANCE_REASONS: Final = frozenset({Reason.UNREACHABLE, Reason.CONNECTION_LOST})


class Dispatcher:
    """
    Runs calls; `attempts` holds the attempts in progress, by request id.

    """

    def __init__(
        self,
        env: Environment,
        settings: RoutingSettings,
        endpoints: EndpointConnections,
        crashes: CrashTracker | None = None,
    ) -> None:
        self.env = env
        self.settings = settings
        self.endpoints = endpoints
        self.budget = RetryBudget(settings.retry_ratio, settings.retry_floor, env.monotonic)
        self.crashes = crashes or CrashTracker(
            env, env.random.randbytes(FINGERPRINT_KEY_BYTES), View(), lambda: 1
        )
        self.attempts: dict[str, Attempt] = {}
        self.attempt_numbers = itertools.count(1)
        self.id_prefix = f'{env.random.getrandbits(48):012x}'
        # Whether the planned stop of this entry is over, so that no attempt may start.
        self.has_stopped = False

    async def on_event(self, connection: Connection, message: Head | Part | End) -> None:
        """
        Pass a message from an endpoint to its attempt. A message that arrives after the attempt
        ended, or over another connection, is dropped.

        """
        attempt = self.attempts.get(message.request_id)
        if attempt is None or attempt.connection is not connection:
            self.env.metrics.count(self.env.metrics.wire, event='late_answer')
            return
        await attempt.enqueue(message)

    async def on_closed(self, connection: Connection) -> None:
        for attempt in list(self.attempts.values()):
            if attempt.connection is connection:
                await attempt.enqueue(ConnectionLost())

    async def end_all(self) -> None:
        """
        End all attempts, because the process stops. Each caller whose answer hasn't begun is told
        whether the request may have run.

        """
        self.has_stopped = True
        for attempt in list(self.attempts.values()):
            await attempt.end_by_stop()

    async def run(self, call: Call, delivery: Delivery) -> Refusal | None:
        """
        Run a call. Return None if the call is answered: the answer was streamed to the caller, or
        `delivery.response` holds it. If the call ends with a back end that turned it away (429 or
        503), that back end's answer is the answer of the call. A returned refusal is final; its
        verdict says whether any attempt of the call may have run.

        """
        refusal = await self._run_attempts(call, delivery)
        if isinstance(refusal, TurnedAway):
            delivery.response = refusal.response
            return None
        return refusal

    async def _run_attempts(self, call: Call, delivery: Delivery) -> Refusal | None:
        tried: set[InstanceId] = set()
        last_refusal: Refusal | None = None
        may_have_run = False
        self.budget.record_request(call.organisation, call.service)
        while True:
            blocked = self.crashes.block_refusal(call)
            if blocked is not None:
                refusal = blocked
                break
            backend = self._choose_backend(call, tried)
            if backend is None:
                refusal = last_refusal or self._no_endpoint_refusal(call)
                break
            if last_refusal is not None and not self._take_from_retry_budget(call, last_refusal):
                refusal = replace(last_refusal, reason=Reason.RETRY_BUDGET)
                break
            suspicion = self.crashes.suspicion_of(call)
            outcome = await self._attempt(call, backend, delivery, tried)
            await self.crashes.record_outcome(call, suspicion, outcome)
            if outcome is None:
                return None
            last_refusal = outcome
            refusal = last_refusal
            may_have_run = may_have_run or last_refusal.verdict is not Verdict.NOT_RUN
            tried.add(backend.instance)
            if delivery.has_started or not may_retry(last_refusal, call.repeatable):
                break
            if self.env.monotonic() >= call.deadline:
                break
        if may_have_run and refusal.verdict is Verdict.NOT_RUN:
            return replace(refusal, verdict=Verdict.MAY_HAVE_RUN)
        return refusal

    def _choose_backend(self, call: Call, tried: set[InstanceId]) -> Backend | None:
        backends = self.endpoints.backends_serving(call.service)
        now = self.env.monotonic()
        return choose(backends, self.env.zone, call.organisation, call.affinity, tried, now)

    def _no_endpoint_refusal(self, call: Call) -> Refusal:
        """
        Return the refusal of a call for which no endpoint can be chosen: BUSY with the shortest
        retry time of the busy endpoints, or NO_ENDPOINT if none is busy.

        """
        now = self.env.monotonic()
        waits = [
            busy.retry_after_ms
            for backend in self.endpoints.backends_serving(call.service)
            if (busy := backend.busy_for(call.organisation, now)) is not None
        ]
        if waits:
            return Refusal(Reason.BUSY, detail='all endpoints are busy', retry_after_ms=min(waits))
        return Refusal(Reason.NO_ENDPOINT, detail='no endpoint serves this at present')

    def _take_from_retry_budget(self, call: Call, last_refusal: Refusal) -> bool:
        if isinstance(last_refusal, SilentEndpoint):
            # Taken when the entry stopped waiting for the endpoint.
            return True
        if not self.budget.spend(call.organisation, call.service):
            return False
        self.env.metrics.retried(last_refusal.reason)
        return True

    def _may_try_another(self, call: Call, tried: set[InstanceId]) -> bool:
        """
        Return whether an endpoint that was not silent recently can be tried instead of waiting for
        a silent one, and take this retry from the budget.

        """
        other = self._choose_backend(call, tried)
        if other is None or other.passed_over_until > self.env.monotonic():
            return False
        if not self.budget.spend(call.organisation, call.service):
            return False
        self.env.metrics.retried(Reason.TIMED_OUT)
        return True

    async def _attempt(
        self, call: Call, backend: Backend, delivery: Delivery, tried: set[InstanceId]
    ) -> Refusal | None:
        connection = self.endpoints.connections.get(backend.instance)
        if connection is None:
            return Refusal(Reason.UNREACHABLE, detail='the endpoint is no longer connected')
        request_id = RequestId(f'{self.env.instance}-{self.id_prefix}-{next(self.attempt_numbers)}')
        attempt = Attempt(self.env, request_id, backend, connection)
        attempt.ended_by_stop = self.has_stopped
        self.attempts[request_id] = attempt
        backend.own_requests += 1
        sent_at = self.env.monotonic()
        try:
            refusal = await self._attempt_steps(call, attempt, delivery, tried)
        finally:
            backend.own_requests -= 1
            del self.attempts[request_id]
            if attempt.started and not attempt.ended:
                await self.env.spawn(self._cancel_attempt, call, attempt)
            else:
                await self._record_cancellation(call, attempt)
        if refusal is None:
            backend.record_accepted(sent_at)
            return None
        if isinstance(refusal, TurnedAway):
            backend.record_turned_away(sent_at, self.env.monotonic())
            return refusal
        self._apply_refusal(call, backend, refusal)
        return refusal

    async def _cancel_attempt(self, call: Call, attempt: Attempt) -> None:
        await attempt.cancel()
        await self._record_cancellation(call, attempt)

    async def _record_cancellation(self, call: Call, attempt: Attempt) -> None:
        if attempt.cancelled_incarnation:
            await self.crashes.record_cancellation(
                call, attempt.request_id, attempt.cancelled_incarnation
            )

    async def _attempt_steps(
        self, call: Call, attempt: Attempt, delivery: Delivery, tried: set[InstanceId]
    ) -> Refusal | None:
        timeout = self.settings.reserve_timeout_ms / 1000
        tried = tried | {attempt.backend.instance}
        refusal = await attempt.reserve(call, timeout, lambda: self._may_try_another(call, tried))
        if refusal is not None:
            return refusal
        try:
            async with curio.timeout_after(max(call.deadline - self.env.monotonic(), 0.001)):
                refusal = await attempt.start()
        except curio.TaskTimeout:
            return Refusal(Reason.TIMED_OUT, detail='the endpoint reads no messages')
        if refusal is not None:
            return refusal
        return await delivery.deliver(attempt, call.deadline)

    def _apply_refusal(self, call: Call, backend: Backend, refusal: Refusal) -> None:
        now = self.env.monotonic()
        if refusal.reason in AVOIDANCE_REASONS:
            backend.avoided_until = now + AVOIDANCE_S
        if refusal.reason is Reason.TIMED_OUT:
            backend.record_silence(now + AVOIDANCE_S)
        if refusal.reason is Reason.BUSY:
            backend.busy[call.organisation] = BusyNotice(now + BUSY_RETENTION_S, refusal.wait_ms)
        if refusal.reason is Reason.RESTING:
            backend.busy[call.organisation] = BusyNotice(
                now + refusal.wait_ms / 1000, refusal.wait_ms
            )
        if refusal.reason is Reason.LEAVING:
            backend.leaving = True
