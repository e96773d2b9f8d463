"""
Whether the back end of an endpoint has ended, or only connections to it broke off.

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

NO_ANSWER = ''

log = logger(Component.ENDPOINT)


@dataclass(slots=True)
class Broken:
    """
    A request that broke off, and the entry it came from; `number` is that of the incarnation
    it was sent to. Its fate is told to the entry where it was not known in time.

    """

    request_id: RequestId
    connection: Connection
    number: int
    fate: IncarnationStatus = IncarnationStatus.UNKNOWN
    is_awaited: bool = True
    # Whether it was called off instead, as its caller left: its back end may go on with it.
    called_off: bool = False


class Ends:
    """
    Tells the incarnations of one back end apart.

    `ask` asks it for its incarnation; a plain service has none to tell.

    """

    def __init__(
        self,
        env: Environment,
        address: Callable[[], tuple[str, int]],
        ask: Callable[[], Awaitable[str]] | None = None,
    ) -> None:
        self.env = env
        self.address = address
        self.ask = ask
        # Of this process, as its numbers of incarnations begin anew with it.
        self.start = time.time_ns()
        self.number = 0
        # As the back end tells it; empty where it is not known.
        self.told_incarnation = NO_ANSWER
        # When the latest of what it answered was sent, in monotonic seconds.
        self.answered_sent_at = float('-inf')
        self.keys = itertools.count(1)
        self.watch: EndWatch[Broken] = EndWatch(env, self._probe, self._fate, self._resolve)
        self.is_watching = False

    def key_of(self, number: int) -> IncarnationKey:
        return IncarnationKey(f'{self.env.instance}/{self.start}.{number}')

    def note_answer(self, sent_at: float) -> None:
        """
        It answered what was sent at a moment in monotonic seconds.

        """
        self.answered_sent_at = max(self.answered_sent_at, sent_at)

    def note_incarnation(self, told: str, asked_at: float) -> None:
        """
        It told its incarnation when it was asked at a moment in monotonic seconds.

        """
        if told == self.told_incarnation:
            self.note_answer(asked_at)
            return
        if self.told_incarnation:
            self._begin_next()
        self.told_incarnation = told

    def _begin_next(self) -> None:
        self.number += 1
        self.told_incarnation = NO_ANSWER
        self.answered_sent_at = float('-inf')

    async def note_broken(
        self, request_id: RequestId, connection: Connection, number: int
    ) -> IncarnationStatus:
        """
        A request broke off that was sent to an incarnation. Returns what is known of it
        within moments; what becomes known later is told to the entry.

        """
        broken = Broken(request_id, connection, number)
        await self._add(broken)
        await self.watch.wait_until_probed()
        broken.is_awaited = False
        return broken.fate

    async def _add(self, broken: Broken) -> None:
        await self.watch.add(str(next(self.keys)), broken, at_once=not broken.called_off)
        if not self.is_watching:
            self.is_watching = True
            await self.env.spawn(self._keep_watch)

    async def note_called_off(
        self, request_id: RequestId, connection: Connection, number: int
    ) -> None:
        """
        A request was called off that was sent to an incarnation; the entry is told whether
        that ends soon.

        """
        broken = Broken(request_id, connection, number, is_awaited=False, called_off=True)
        await self._add(broken)

    async def _keep_watch(self) -> None:
        try:
            await self.watch.run()
        finally:
            self.is_watching = False

    def _fate(self, broken: Interruption[Broken]) -> IncarnationStatus:
        if broken.subject.number < self.number:
            return IncarnationStatus.ENDED
        if broken.subject.called_off:
            is_over = self.env.monotonic() - broken.at > CALLER_LEFT_WATCH_S
            return IncarnationStatus.LIVES if is_over else IncarnationStatus.UNKNOWN
        return (
            IncarnationStatus.LIVES
            if self.answered_sent_at > broken.at
            else IncarnationStatus.UNKNOWN
        )

    async def _probe(self) -> ProbeResult:
        if self.ask is not None:
            asked_at = self.env.monotonic()
            told = await self.ask()
            if told != NO_ANSWER:
                self.note_incarnation(told, asked_at)
                return ProbeResult.ANSWERS
        return await probe_address(*self.address())

    async def _resolve(self, fate: IncarnationStatus, broken: list[Interruption[Broken]]) -> None:
        after_ms = (self.env.monotonic() - min(item.at for item in broken)) * 1000
        log.info(
            'Back end after answers broke off: {}. requests={} after_ms={:.0f}',
            fate.value,
            len(broken),
            after_ms,
        )
        if fate is IncarnationStatus.ENDED and any(
            item.subject.number == self.number for item in broken
        ):
            self._begin_next()
        for item in broken:
            item.subject.fate = fate
            if not item.subject.is_awaited:
                await self._tell(item.subject)

    async def _tell(self, broken: Broken) -> None:
        try:
            await broken.connection.notify(
                BackEndFate(broken.request_id, broken.fate is IncarnationStatus.ENDED)
            )
        except PeerLost:
            log.info('An entry is gone that would hear of the back end. id={}', broken.request_id)
