"""
Tracks calls that crash the back ends that run them, on a listed fleet (one whose instances the
platform lists).

A caller that retries makes a new call, so calls are identified by a fingerprint of their content:
organisation, service, method, path and body. The suspicion of a call is the record of the back
ends that ended one after another while they ran a call with its fingerprint.

"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, Fingerprint, IncarnationKey, InstanceId, RequestId
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.quarantine import SuspicionLevel, TrialSchedule
from millfork_state.view import View
from millfork_wire.messages import BackEndFate
from millforkd.entry.attempts import Call, InterruptedAttempt, endpoint_incarnation
from millforkd.fingerprints import fingerprint_of
from millforkd.quarantine import Quarantine
from millforkd.suspicion_updates import SuspicionUpdater

REFUSAL_DETAILS: Final = {
    SuspicionLevel.AT_FAULT: 'back ends end when they run this request',
    SuspicionLevel.SUSPECTED: 'connections to back ends were lost while they ran this request',
}
REFUSAL_REASONS: Final = {
    SuspicionLevel.AT_FAULT: Reason.QUARANTINED,
    SuspicionLevel.SUSPECTED: Reason.SUSPECTED,
}

# An attempt whose back end's status is not reported within this time is treated as if the back
# end had not ended. An endpoint watches its back end for 20 s after an answer broke off; an
# endpoint that is gone reports nothing.
PENDING_RETENTION_S: Final = 30.0
MAX_EARLY_STATUSES: Final = 256

log = logger(Component.ENTRY)


@dataclass(frozen=True, slots=True)
class PendingAttempt:
    """
    An interrupted or cancelled attempt for which this entry does not know yet whether the back
    end ended. `before` is the suspicion of the call when the attempt was sent or, for a cancelled
    attempt, when it was cancelled. `interrupted_at` is in monotonic seconds.

    """

    before: Suspicion
    incarnation: IncarnationKey
    interrupted_at: float
    # The endpoint, if the connection to it was lost; else empty.
    lost_endpoint: InstanceId = NO_INSTANCE
    # Whether the entry cancelled the attempt. A cancelled attempt makes its call suspected only
    # if the back end ends.
    is_cancelled: bool = False


class CallFingerprints:
    """
    Computes the fingerprints of calls. All entries of a fleet have the same key and compute the
    same fingerprint for the same content.

    """

    def __init__(self, key: bytes, cluster: Callable[[], str]) -> None:
        self.key = key
        self.cluster = cluster

    def compute(self, call: Call) -> Fingerprint:
        parts = (call.organisation, call.service, call.method, call.path)
        return fingerprint_of(self.key, self.cluster(), parts, call.body)


class CrashTracker:
    """
    Counts the back ends that ended while they ran a call, by the fingerprint of the call. A
    complete answer clears the suspicion of its call. `entries` returns the number of entries of
    the fleet.

    """

    def __init__(
        self, env: Environment, key: bytes, view: View, entries: Callable[[], int]
    ) -> None:
        self.env = env
        self.suspicion_store = SuspicionStore(env.monotonic)
        self.suspicion_updater = SuspicionUpdater(env, self.suspicion_store)
        self.pending: dict[RequestId, PendingAttempt] = {}
        # By request id: whether the back end ended, from reports that arrived before their attempt
        # was recorded as interrupted or cancelled.
        self.early_statuses: dict[RequestId, bool] = {}
        self.quarantine = Quarantine(
            self.suspicion_store,
            view,
            CallFingerprints(key, lambda: view.cluster),
            TrialSchedule(env.random, env.monotonic, entries),
        )

    def suspicion_of(self, call: Call) -> Suspicion:
        """
        Return the suspicion of a call: this entry's present record of the back ends that ended,
        or may have ended, while they ran the call.

        """
        return self.quarantine.suspicion_of(call)

    def block_refusal(self, call: Call) -> Refusal | None:
        """
        Return the refusal of a call that is quarantined or suspected of crashing back ends; None
        if the call may be sent. A suspected call may be sent as a trial when its trial is due.

        """
        level = self.quarantine.blocking_level(call)
        if level is None:
            return None
        return Refusal(REFUSAL_REASONS[level], detail=REFUSAL_DETAILS[level])

    async def record_outcome(self, call: Call, before: Suspicion, outcome: Refusal | None) -> None:
        """
        Record the outcome of an attempt. None stands for a complete answer, which clears the
        suspicion of the call. `before` is that suspicion when the attempt was sent.

        """
        if outcome is None:
            await self.quarantine.clear_suspicion(call)
            return
        await self._record_refusal(outcome, before)

    @singledispatchmethod
    async def _record_refusal(self, outcome: Refusal, before: Suspicion) -> None:
        if outcome.reason is not Reason.BACKEND_FAILED or outcome.verdict is Verdict.NOT_RUN:
            return
        await self.suspicion_store.record(before.with_end())
        self._log_end(before)

    @_record_refusal.register
    async def _(self, outcome: InterruptedAttempt, before: Suspicion) -> None:
        await self.suspicion_updater.record_broken_connection(
            before.fingerprint, outcome.incarnation
        )
        pending = PendingAttempt(
            before, outcome.incarnation, self.env.monotonic(), outcome.lost_endpoint
        )
        if outcome.reason is Reason.BACKEND_FAILED:
            await self._settle(pending, ended=True)
            return
        await self._settle_once_reported(outcome.request_id, pending)

    async def _settle_once_reported(self, request_id: RequestId, pending: PendingAttempt) -> None:
        ended = self.early_statuses.pop(request_id, None)
        if ended is None:
            self.pending[request_id] = pending
            return
        await self._settle(pending, ended)

    async def record_cancellation(
        self, call: Call, request_id: RequestId, incarnation: IncarnationKey
    ) -> None:
        """
        Record an attempt that was cancelled because its caller left or its deadline passed, while
        `incarnation` ran the request. The back end may still crash because of the request.

        """
        now = self.env.monotonic()
        pending = PendingAttempt(self.suspicion_of(call), incarnation, now, is_cancelled=True)
        await self._settle_once_reported(request_id, pending)

    async def apply_back_end_status(self, message: BackEndFate) -> None:
        """
        Apply an endpoint's report of whether its back end ended after an interrupted or cancelled
        request.

        """
        request_id = RequestId(message.request_id)
        pending = self.pending.pop(request_id, None)
        if pending is None:
            # The report may be handled before the `End` of its attempt: another task handles `End`.
            self.early_statuses[request_id] = message.ended
            while len(self.early_statuses) > MAX_EARLY_STATUSES:
                del self.early_statuses[next(iter(self.early_statuses))]
            return
        await self._settle(pending, message.ended)

    async def apply_endpoint_start(self, instance: InstanceId, start: int) -> None:
        """
        Settle the attempts that lost their connection to an endpoint, now that the endpoint is
        connected again. Its process started at `start` (ns since 1970): a different start than
        before means that the earlier process ended; with the same start, only the connection was
        lost.

        """
        for request_id, pending in list(self.pending.items()):
            if pending.lost_endpoint != instance:
                continue
            del self.pending[request_id]
            await self._settle(
                pending, pending.incarnation != endpoint_incarnation(instance, start)
            )

    async def _settle(self, pending: PendingAttempt, ended: bool) -> None:
        if ended and pending.is_cancelled:
            await self.suspicion_updater.record_broken_connection(
                pending.before.fingerprint, pending.incarnation
            )
        if ended:
            await self.suspicion_updater.record_end(pending.before, pending.incarnation)
            self._log_end(pending.before)
            return
        await self.suspicion_updater.record_no_end(pending.before.fingerprint, pending.incarnation)

    def _log_end(self, before: Suspicion) -> None:
        log.info(
            'A back end ended while it ran a request. fingerprint={} ends={}',
            before.fingerprint,
            self.suspicion_store.get(before.fingerprint).ends,
        )

    async def expire(self) -> None:
        """
        Remove expired suspicions, schedule for sending the suspicions that were private (not sent
        to other entries) for too long, and settle attempts that have been pending for longer than
        PENDING_RETENTION_S as if their back end had not ended.

        """
        self.suspicion_store.forget_expired()
        await self.suspicion_store.publish_overdue()
        expired_before = self.env.monotonic() - PENDING_RETENTION_S
        for request_id, pending in list(self.pending.items()):
            if pending.interrupted_at < expired_before:
                del self.pending[request_id]
                await self._settle(pending, ended=False)
