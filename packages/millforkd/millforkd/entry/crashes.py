"""
Calls under which back ends ended, as one entry knows them.

A caller that comes back makes a new call, so what ends each back end that runs it is known by
what it says: who calls which service, how, and with what body.

"""

import hashlib

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint
from millfork_core.logs import Part, logger
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_registry.suspects import Suspects, Suspicion
from millfork_scheduling.quarantine import is_at_fault
from millforkd.entry.attempts import Call

KEY_BYTES = 32
DIGEST_BYTES = 16

log = logger(Part.ENTRY)


class Crashes:
    """
    Counts ends by what calls say. An answer that comes whole clears a call.

    """

    def __init__(self, env: Environment) -> None:
        self.suspects = Suspects(env.monotonic)
        # Bodies are private: nobody who reads a log can try out guesses.
        self.key = env.random.randbytes(KEY_BYTES)

    def known(self, call: Call) -> Suspicion:
        """
        What is known of a call at this moment.

        """
        return self.suspects.of(self._fingerprint(call))

    def bars(self, call: Call) -> Refusal | None:
        """
        A refusal if a call is taken to end whatever runs it.

        """
        if not self.suspects.table or not is_at_fault(self.known(call)):
            return None
        return Refusal(Reason.QUARANTINED, detail='back ends end when they run this request')

    async def note(self, before: Suspicion, outcome: Refusal | None) -> None:
        """
        Take how an attempt ended; `before` is what was known of its call when it was sent.

        """
        if outcome is None:
            if before.ends:
                await self.suspects.note(before.cleared())
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

    def _fingerprint(self, call: Call) -> Fingerprint:
        made = hashlib.blake2b(digest_size=DIGEST_BYTES, key=self.key)
        for part in (call.organisation, call.service, call.method, call.path):
            # Lengths keep what ends one part from beginning the next.
            made.update(len(part.encode()).to_bytes(4, 'big'))
            made.update(part.encode())
        made.update(call.body)
        return Fingerprint(made.hexdigest())
