"""
Detects which back ends ended, and which requests they were running.

An answer may break off because the back end ended, or because of the connection, a network link or
malformed content. Whether the back end ended may be known only seconds later. Until then the
request is suspected; its suspicion is the record of the back ends that ended one after another
while they ran a request with the same fingerprint. When a back end ends, all requests that this
entry sent to the back end break off, so one watch per back end covers them.

The parts of the prompts of these requests are suspected as well, but only once it is known that the
back end ended: a part may be that of all requests of an organisation.

"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum
from functools import partial
from typing import Final

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, IncarnationKey
from millfork_core.logs import Component, logger
from millfork_registry.suspicion_store import SuspicionStore
from millfork_registry.suspicions import Suspicion
from millfork_scheduling.incarnation_status import IncarnationStatus, determine_status
from millfork_scheduling.quarantine import is_at_fault_among
from millfork_scheduling.server import Server
from millforkd.end_watch import (
    CALLER_LEFT_WATCH_S,
    MAX_PROBE_INTERVAL_S,
    MAX_WATCH_S,
    EndWatch,
    Interruption,
    ProbeResult,
    probe_address,
)
from millforkd.suspicion_updates import SuspicionUpdater

log = logger(Component.PROXY)

# A request is remembered for this long after its caller left.
CALLER_LEFT_MEMORY_S: Final = 60.0
# The maximum number of requests that are remembered after their callers left.
MAX_ABANDONED_REQUESTS: Final = 1024


@dataclass(frozen=True, slots=True, eq=False)
class AbandonedRequest:
    """
    A request whose caller left, or whose deadline passed, at `at` (monotonic seconds). `before` is
    the suspicion of the request when it was sent to `servers`, and `parts` those of the parts of
    its prompt that may be the cause if a back end ends.

    """

    at: float
    servers: tuple[Server, ...]
    before: Suspicion
    parts: tuple[Suspicion, ...]


class InterruptionKind(IntEnum):
    """
    How a request was interrupted; a higher value is stronger evidence that the back end ended.

    """

    # The caller left, or the deadline passed, before the back end answered.
    CALLER_LEFT = 1
    # The answer looks complete, but ended with its connection.
    CLOSED = 2
    # The back end sent nothing for a while.
    SILENT = 3
    # The answer broke off.
    BROKEN = 4


# The kinds after which a back end is watched until its status is known; after the others it counts
# as living on if it hasn't ended within CALLER_LEFT_WATCH_S.
UNLIMITED_KINDS: Final = frozenset({InterruptionKind.SILENT, InterruptionKind.BROKEN})


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """
    A request that was interrupted. `before` is the suspicion of the request when it was sent, and
    `parts` those of the parts of its prompt that may be the cause if the back end ends.

    """

    before: Suspicion
    kind: InterruptionKind
    parts: tuple[Suspicion, ...] = ()


def incarnation_key(server: Server) -> IncarnationKey:
    return IncarnationKey(f'{server.instance}/{server.incarnation}')


class EndDetector:
    """
    Runs one watch (repeated probes) for each back end at which requests were interrupted, and
    updates the suspicions of these requests from the results.

    """

    def __init__(
        self,
        env: Environment,
        suspicion_store: SuspicionStore,
        status_of: Callable[[Server, float], IncarnationStatus] = determine_status,
    ) -> None:
        self.env = env
        self.status_of = status_of
        self.suspicion_store = suspicion_store
        self.suspicion_updater = SuspicionUpdater(env, suspicion_store)
        self.watches: dict[IncarnationKey, EndWatch[InterruptedRequest]] = {}
        # The latest request whose caller left, by its fingerprint and by those of its parts.
        self.abandoned: dict[Fingerprint, AbandonedRequest] = {}

    async def record_caller_left(
        self, servers: Iterable[Server], before: Suspicion, parts: tuple[Suspicion, ...] = ()
    ) -> None:
        """
        Record that a caller left, or that the deadline of the request passed, while the back ends
        `servers` had not answered. `before` is the suspicion of the request when it was sent there,
        and `parts` those of the parts of its prompt that may be the cause if a back end ends.

        If a back end ends now, no answer breaks off to show that. So the back ends are watched,
        but only if an earlier caller of a request with this fingerprint, or with a part that was
        not answered lately, left within the last CALLER_LEFT_MEMORY_S. If that caller left less
        than CALLER_LEFT_WATCH_S ago, the back ends of that earlier request are watched as well.

        """
        now = self.env.monotonic()
        abandoned = AbandonedRequest(now, tuple(servers), before, parts)
        recent = []
        for fingerprint in self._abandoned_keys(abandoned):
            last = self.abandoned.pop(fingerprint, None)
            if last is not None and now - last.at <= CALLER_LEFT_MEMORY_S and last not in recent:
                recent.append(last)
            self.abandoned[fingerprint] = abandoned
        while len(self.abandoned) > MAX_ABANDONED_REQUESTS:
            del self.abandoned[next(iter(self.abandoned))]
        if not recent:
            return
        await self._add_abandoned(abandoned)
        for last in recent:
            if now - last.at < CALLER_LEFT_WATCH_S:
                await self._add_abandoned(last)

    def _abandoned_keys(self, abandoned: AbandonedRequest) -> list[Fingerprint]:
        keys = [abandoned.before.fingerprint]
        for part in abandoned.parts:
            if not self.suspicion_store.answered_parts.contains(part.fingerprint):
                keys.append(part.fingerprint)
        return keys

    async def _add_abandoned(self, abandoned: AbandonedRequest) -> None:
        interrupted = InterruptedRequest(
            abandoned.before, InterruptionKind.CALLER_LEFT, abandoned.parts
        )
        for server in abandoned.servers:
            await self._add(server, interrupted)

    async def record_silence(
        self, server: Server, before: Suspicion, parts: tuple[Suspicion, ...] = ()
    ) -> None:
        """
        Record that a back end was silent while it had a request to answer; `before` and `parts` as
        for `record_caller_left`. The request is suspected only once it is known that the back end
        ended.

        """
        await self._add(server, InterruptedRequest(before, InterruptionKind.SILENT, parts))

    async def record_closed(
        self, server: Server, before: Suspicion, parts: tuple[Suspicion, ...] = ()
    ) -> None:
        """
        Record that an answer ended with its connection and looks complete; `before` and `parts` are
        the suspicions of the request and of the parts that it answers when the request was sent. If
        the back end ended, they are suspected; if the back end lives, the answer was complete and
        clears them.

        """
        await self._add(server, InterruptedRequest(before, InterruptionKind.CLOSED, parts))

    async def record_broken_connection(
        self, server: Server, before: Suspicion, parts: tuple[Suspicion, ...] = ()
    ) -> None:
        """
        Record that an answer of a back end broke off; `before` and `parts` as for
        `record_caller_left`. Returns once the back end was probed, or after a short timeout.

        """
        interrupted = InterruptedRequest(before, InterruptionKind.BROKEN, parts)
        watch = await self._add(server, interrupted)
        await self.suspicion_updater.record_broken_connection(
            before.fingerprint, incarnation_key(server)
        )
        await watch.wait_until_probed()

    async def _add(
        self, server: Server, interrupted: InterruptedRequest
    ) -> EndWatch[InterruptedRequest]:
        """
        Add an interrupted request to the watch of the back end; starts a watch if there is none.
        If the watch already holds a request with this fingerprint, the newer of the two suspicions
        and the stronger of the two kinds are kept.

        """
        key = incarnation_key(server)
        watch = self.watches.get(key)
        is_new = watch is None
        if watch is None:
            watch = self._create_watch(server, key)
            self.watches[key] = watch
        earlier = watch.interruptions.get(interrupted.before.fingerprint)
        if earlier is not None:
            before = max(earlier.subject.before, interrupted.before, key=lambda item: item.sort_key)
            kind = max(interrupted.kind, earlier.subject.kind)
            parts = interrupted.parts or earlier.subject.parts
            interrupted = InterruptedRequest(before, kind, parts)
        await watch.add(
            interrupted.before.fingerprint,
            interrupted,
            urgent=interrupted.kind is InterruptionKind.BROKEN,
        )
        if is_new:
            await self.env.spawn(self._run_watch, watch, key)
        return watch

    def _create_watch(self, server: Server, key: IncarnationKey) -> EndWatch[InterruptedRequest]:
        return EndWatch(
            self.env,
            partial(self._probe, server),
            partial(self._status, server),
            partial(self._resolve, key),
            MAX_PROBE_INTERVAL_S,
            MAX_WATCH_S,
        )

    def _status(
        self, server: Server, interruption: Interruption[InterruptedRequest]
    ) -> IncarnationStatus:
        status = self.status_of(server, interruption.at)
        kind = interruption.subject.kind
        if status is IncarnationStatus.ENDED or kind in UNLIMITED_KINDS:
            return status
        if status is IncarnationStatus.LIVES and kind is InterruptionKind.CLOSED:
            return status
        # After a caller left, the back end may still be running this request, so answers to other
        # requests don't show that the back end survives this request.
        watch_is_over = self.env.monotonic() - interruption.at > CALLER_LEFT_WATCH_S
        return IncarnationStatus.LIVES if watch_is_over else IncarnationStatus.UNKNOWN

    async def _run_watch(self, watch: EndWatch[InterruptedRequest], key: IncarnationKey) -> None:
        try:
            await watch.run()
        finally:
            del self.watches[key]

    async def _resolve(
        self,
        key: IncarnationKey,
        status: IncarnationStatus,
        interruptions: list[Interruption[InterruptedRequest]],
    ) -> None:
        if status is IncarnationStatus.ENDED:
            self._log_end(key, interruptions)
            await self._record_part_ends(key, interruptions)
        if status is IncarnationStatus.UNKNOWN:
            log.info('It stayed unknown whether a back end ended. incarnation={}', key)
        for item in interruptions:
            if status is IncarnationStatus.ENDED:
                if item.subject.kind is not InterruptionKind.BROKEN:
                    await self.suspicion_updater.record_broken_connection(
                        item.subject.before.fingerprint, key
                    )
                await self.suspicion_updater.record_end(item.subject.before, key)
                continue
            await self.suspicion_updater.record_no_end(item.subject.before.fingerprint, key)
            if (status, item.subject.kind) == (IncarnationStatus.LIVES, InterruptionKind.CLOSED):
                await self.suspicion_store.clear(item.subject.before.fingerprint)
                for part in item.subject.parts:
                    await self.suspicion_store.clear_part(part.fingerprint)

    async def _record_part_ends(
        self, key: IncarnationKey, interruptions: list[Interruption[InterruptedRequest]]
    ) -> None:
        """
        Record the end of a back end for the parts of all prompts that it ran, unless a part among
        them is known to be at fault and so explains the end.

        """
        store = self.suspicion_store
        requests = [item.subject for item in interruptions]
        parts = {part.fingerprint for request in requests for part in request.parts}
        if any(is_at_fault_among(store.get(part), store) for part in parts):
            return
        for request in requests:
            for part in request.parts:
                await store.record_part(part.with_witnessed_end(request.before.fingerprint, key))

    def _log_end(
        self, key: IncarnationKey, interruptions: list[Interruption[InterruptedRequest]]
    ) -> None:
        log.info(
            'Back end ended. incarnation={} requests={} after_ms={:.0f} fingerprints={}',
            key,
            len(interruptions),
            (self.env.monotonic() - min(item.at for item in interruptions)) * 1000,
            ','.join(sorted(item.subject.before.fingerprint for item in interruptions)),
        )

    async def _probe(self, server: Server) -> ProbeResult:
        result = await self.probe(server)
        if result is ProbeResult.ANSWERS:
            self.env.metrics.count(self.env.metrics.connections, event='probe')
        return result

    async def probe(self, server: Server) -> ProbeResult:
        """
        Probe a back end by connecting to its address.

        """
        return await probe_address(server.host, server.port)
