"""
Calls under which back ends ended, on a fleet with a list of instances.

A caller that comes back makes a new call, so what ends each back end that runs it is known by
what it says: who calls which service, how, and with what body.

"""

from collections.abc import Callable

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_registry.suspects import Suspects, Suspicion
from millfork_scheduling.quarantine import Standing, Trials
from millfork_state.view import View
from millforkd.entry.attempts import Call
from millforkd.fingerprints import fingerprint_of
from millforkd.quarantine import Quarantine

DETAILS = {
    Standing.AT_FAULT: 'back ends end when they run this request',
    Standing.SUSPECTED: 'back ends broke off when they ran this request',
}
REASONS = {Standing.AT_FAULT: Reason.QUARANTINED, Standing.SUSPECTED: Reason.SUSPECTED}

log = logger(Part.ENTRY)


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
        self.suspects = Suspects(env.monotonic)
        self.quarantine = Quarantine(
            self.suspects,
            view,
            CallFingerprints(key, lambda: view.cluster),
            Trials(env.random, env.monotonic, entries),
        )

    def known(self, call: Call) -> Suspicion:
        """
        What is known of a call at this moment.

        """
        return self.quarantine.known(call)

    def bars(self, call: Call) -> Refusal | None:
        """
        A refusal if a call is, or may be, what ends back ends.

        """
        standing = self.quarantine.bars(call)
        if standing is None:
            return None
        return Refusal(REASONS[standing], detail=DETAILS[standing])

    async def note(self, call: Call, before: Suspicion, outcome: Refusal | None) -> None:
        """
        Take how an attempt ended; `before` is what was known of its call when it was sent.

        """
        if outcome is None:
            await self.quarantine.clear(call)
            return
        if outcome.reason is not Reason.BACKEND_FAILED or outcome.verdict is Verdict.NOT_RUN:
            return
        suspicion = before.with_end()
        await self.suspects.note(suspicion)
        log.info(
            'A back end ended under a request. fingerprint={} ends={}',
            suspicion.fingerprint,
            suspicion.ends,
        )
