"""
Calls under which back ends ended, on a fleet with a list of instances.

A caller that comes back makes a new call, so what ends each back end that runs it is known by
what it says: who calls which service, how, and with what body.

"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import NO_INSTANCE, Fingerprint, IncarnationKey, InstanceId, RequestId
from millfork_core.logs import Component, logger
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_registry.suspicion_store import Suspicion, SuspicionStore
from millfork_scheduling.quarantine import SuspicionLevel, TrialSchedule
from millfork_state.view import View
from millfork_wire.messages import BackEndFate
from millforkd.entry.attempts import BrokeOff, Call, endpoint_key
from millforkd.fingerprints import fingerprint_of
from millforkd.quarantine import Quarantine
from millforkd.suspicion_updates import SuspicionUpdater

DETAILS: Final = {
    SuspicionLevel.AT_FAULT: 'back ends end when they run this request',
    SuspicionLevel.SUSPECTED: 'back ends broke off when they ran this request',
}
REASONS: Final = {
    SuspicionLevel.AT_FAULT: Reason.QUARANTINED,
    SuspicionLevel.SUSPECTED: Reason.SUSPECTED,
}

# An endpoint watches its back end for 20 s; one that is gone tells nothing any more.
PENDING_S: Final = 30.0
MOST_EARLY_FATES: Final = 256

log = logger(Component.ENTRY)


@dataclass(frozen=True, slots=True)
class Pending:
    """
    An attempt that broke off, at a moment in monotonic seconds, before its endpoint knows
    whether the back end ended; `before` is what was known of the call when it was sent.

    """

    before: Suspicion
    incarnation: IncarnationKey
    since: float
    # The endpoint, where it was lost itself.
    lost: InstanceId = NO_INSTANCE
    # Whether its caller left; it is not suspected before its back end is known to have ended.
    called_off: bool = False


class CallFingerprints:
    """
    The fingerprints of calls; all entries of a fleet make the same.

    """

    def __init__(self, key: bytes, cluster: Callable[[], str]) -> None:
        self.key = key
        self.cluster = cluster

    def of(self, call: Call) -> Fingerprint:
        parts = (call.organisation, call.service, call.method, call.path)
        return fingerprint_of(self.key, self.cluster(), parts, call.body)


class Crashes:
    """
    Counts ends by what calls say. An answer that comes whole clears a call.

    """

    def __init__(
        self, env: Environment, key: bytes, view: View, entries: Callable[[], int]
    ) -> None:
        self.env = env
        self.suspects = SuspicionStore(env.monotonic)
        self.suspecting = SuspicionUpdater(env, self.suspects)
        self.pending: dict[RequestId, Pending] = {}
        self.early_fates: dict[RequestId, bool] = {}
        self.quarantine = Quarantine(
            self.suspects,
            view,
            CallFingerprints(key, lambda: view.cluster),
            TrialSchedule(env.random, env.monotonic, entries),
        )

    def known(self, call: Call) -> Suspicion:
        """
        What is known of a call at this moment.

        """
        return self.quarantine.suspicion_of(call)

    def bars(self, call: Call) -> Refusal | None:
        """
        A refusal if a call is, or may be, what ends back ends.

        """
        standing = self.quarantine.blocking_standing(call)
        if standing is None:
            return None
        return Refusal(REASONS[standing], detail=DETAILS[standing])

    async def note(self, call: Call, before: Suspicion, outcome: Refusal | None) -> None:
        """
        Take how an attempt ended; `before` is what was known of its call when it was sent.

        """
        if outcome is None:
            await self.quarantine.clear_suspicion(call)
            return
        await self._take(outcome, before)

    @singledispatchmethod
    async def _take(self, outcome: Refusal, before: Suspicion) -> None:
        if outcome.reason is not Reason.BACKEND_FAILED or outcome.verdict is Verdict.NOT_RUN:
            return
        await self.suspects.record(before.with_end())
        self._log_end(before)

    @_take.register
    async def _(self, outcome: BrokeOff, before: Suspicion) -> None:
        await self.suspecting.note_broken(before.fingerprint, outcome.incarnation)
        pending = Pending(before, outcome.incarnation, self.env.monotonic(), outcome.lost)
        if outcome.reason is Reason.BACKEND_FAILED:
            await self._settle(pending, ended=True)
            return
        ended = self.early_fates.pop(outcome.request_id, None)
        if ended is None:
            self.pending[outcome.request_id] = pending
            return
        await self._settle(pending, ended)

    def note_left(self, call: Call, request_id: RequestId, incarnation: IncarnationKey) -> None:
        """
        An attempt was called off, as its caller left or its time was up; its back end may end
        all the same.

        """
        now = self.env.monotonic()
        self.pending[request_id] = Pending(self.known(call), incarnation, now, called_off=True)

    async def on_fate(self, message: BackEndFate) -> None:
        """
        An endpoint found out whether its back end ended.

        """
        request_id = RequestId(message.request_id)
        pending = self.pending.pop(request_id, None)
        if pending is None:
            # It may overtake the end of its attempt, which is taken by another task.
            self.early_fates[request_id] = message.ended
            while len(self.early_fates) > MOST_EARLY_FATES:
                del self.early_fates[next(iter(self.early_fates))]
            return
        await self._settle(pending, message.ended)

    async def on_endpoint(self, instance: InstanceId, start: int) -> None:
        """
        An endpoint was reached again; its process started at a moment. What broke off as the
        connection to it was lost broke off with another one of its processes, or with the
        connection alone.

        """
        for request_id, pending in list(self.pending.items()):
            if pending.lost != instance:
                continue
            del self.pending[request_id]
            await self._settle(pending, pending.incarnation != endpoint_key(instance, start))

    async def _settle(self, pending: Pending, ended: bool) -> None:
        if ended and pending.called_off:
            await self.suspecting.note_broken(pending.before.fingerprint, pending.incarnation)
        if ended:
            await self.suspecting.note_end(pending.before, pending.incarnation)
            self._log_end(pending.before)
            return
        await self.suspecting.note_no_end(pending.before.fingerprint, pending.incarnation)

    def _log_end(self, before: Suspicion) -> None:
        log.info(
            'A back end ended under a request. fingerprint={} ends={}',
            before.fingerprint,
            self.suspects.get(before.fingerprint).ends,
        )

    async def keep_house(self) -> None:
        """
        Forget what is old, and tell others what did not prove to be nothing.

        """
        self.suspects.forget_expired()
        await self.suspects.publish_overdue()
        since = self.env.monotonic() - PENDING_S
        for request_id, pending in list(self.pending.items()):
            if pending.since < since:
                del self.pending[request_id]
                await self._settle(pending, ended=False)
