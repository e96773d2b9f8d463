"""
Probes a back end at which requests broke off, until it is known whether the back end ended.

A back end ends when its process crashes, is killed or exits. Requests also break off for other
reasons, such as a lost connection.

"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, Generic, TypeVar

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.sockets import connect
from millfork_scheduling.incarnation_status import IncarnationStatus

# The delay of a probe after an urgent interruption (one after which the back end may be ending),
# and the shortest probe interval. When a back end ends, all its requests break off within a few
# milliseconds, so one probe after the delay serves them all. The closing listener of such a back
# end may reset one connection before it refuses the next.
GROUPING_DELAY_S: Final = 0.01
# `EndWatch.wait_until_probed` returns after this many probes since the last urgent interruption,
# even if it isn't known yet whether the back end ended.
PROBES_BEFORE_RETURN: Final = 2
# The probe interval doubles from probe to probe. A watch whose first interruption isn't urgent
# starts with the interval that other watches reach after this many probes.
INITIAL_PROBES_IF_NOT_URGENT: Final = 4
# The longest wait for a probe's connection. Round trips between zones take a few milliseconds.
# A timeout doesn't prove that the back end ended, as a network partition also causes one.
PROBE_TIMEOUT_S: Final = 0.4
# The longest time that `EndWatch.wait_until_probed` waits. A probe takes a few milliseconds
# if the address answers. If it doesn't, the status of the back end may stay unknown for seconds.
MAX_PROBE_WAIT_S: Final = 0.05

# The longest pause between two probes of a back end.
MAX_PROBE_INTERVAL_S: Final = 0.5
# An interruption whose status isn't known after this time is resolved as UNKNOWN. An instance that
# lost power is back within seconds, and the leases of back ends behind a network partition expire
# within this time.
MAX_WATCH_S: Final = 20.0

# If a back end ends within this time after a caller left, the end is attributed to the caller's
# request: a back end that is still running the request finishes it or ends within this time.
CALLER_LEFT_WATCH_S: Final = 2.0

log = logger(Component.DAEMON)

Subject = TypeVar('Subject')


class ProbeResult(Enum):
    """
    The result of a probe: the address accepts a connection, refuses it, or neither (a timeout or
    another error).

    """

    ANSWERS = 'answers'
    REFUSES = 'refuses'
    SILENT = 'silent'


async def probe_address(host: str, port: int) -> ProbeResult:
    """
    Connect to an address, close the connection, and return the result.

    """
    try:
        async with curio.timeout_after(PROBE_TIMEOUT_S):
            sock = await connect(host, port)
    except ConnectionRefusedError:
        return ProbeResult.REFUSES
    except (OSError, curio.TaskTimeout) as error:
        log.info(
            'Unknown whether a back end ended. address={}:{} error={}',
            host,
            port,
            type(error).__name__,
        )
        return ProbeResult.SILENT
    await sock.close()
    return ProbeResult.ANSWERS


@dataclass(slots=True)
class Interruption(Generic[Subject]):
    """
    A request (`subject`) that broke off at a back end, or whose caller left, at the time `at`
    (monotonic seconds).

    """

    subject: Subject
    at: float


@dataclass(slots=True)
class EndWatch(Generic[Subject]):
    """
    Finds out, for each interruption at one back end, whether the back end has ended since.
    `probe` checks whether the back end accepts connections. `status_of` returns what other
    evidence, such as later answers, shows about the back end since an interruption. `on_resolved`
    receives a status (UNKNOWN only after `max_watch_s`) and the interruptions resolved to it.

    """

    env: Environment
    probe: Callable[[], Awaitable[ProbeResult]]
    status_of: Callable[[Interruption[Subject]], IncarnationStatus]
    on_resolved: Callable[[IncarnationStatus, list[Interruption[Subject]]], Awaitable[None]]
    max_interval_s: float = MAX_PROBE_INTERVAL_S
    max_watch_s: float = MAX_WATCH_S
    interruptions: dict[str, Interruption[Subject]] = field(default_factory=dict)
    # The number of probes since the last urgent interruption; determines the probe interval.
    # Starts at INITIAL_PROBES_IF_NOT_URGENT if the first interruption isn't urgent.
    probes: int = 0
    # Set by each urgent interruption to start a probe, as the back end may be ending now.
    probe_now: curio.Event = field(default_factory=curio.Event)
    # Set once all interruptions are resolved, or after PROBES_BEFORE_RETURN probes.
    first_probes_done: curio.Event = field(default_factory=curio.Event)

    async def add(self, key: str, subject: Subject, urgent: bool = True) -> None:
        """
        Add an interruption that happens now; it replaces an earlier one with the same key. If
        `urgent` is set, the next probe is made after GROUPING_DELAY_S. Otherwise the back end may
        end only later, so the next probe isn't brought forward.

        """
        was_idle = not self.interruptions
        self.interruptions[key] = Interruption(subject, self.env.monotonic())
        if urgent:
            self.probes = 0
            self.first_probes_done.clear()
            await self.probe_now.set()
            return
        if was_idle:
            self.probes = INITIAL_PROBES_IF_NOT_URGENT

    async def wait_until_probed(self) -> None:
        """
        Wait until all interruptions are resolved or PROBES_BEFORE_RETURN probes were made, for
        MAX_PROBE_WAIT_S at most.

        """
        try:
            async with curio.timeout_after(MAX_PROBE_WAIT_S):
                await self.first_probes_done.wait()
        except curio.TaskTimeout:
            log.debug('Not known yet whether a back end ended.')

    async def run(self) -> None:
        """
        Probe the back end until all interruptions are resolved.

        """
        while self.interruptions:
            await self._pause()
            await self._resolve(self.env.monotonic(), ProbeResult.ANSWERS)
            if self.interruptions:
                probed_at = self.env.monotonic()
                result = await self.probe()
                self.probes += 1
                await self._resolve(probed_at, result)
            if self.probes >= PROBES_BEFORE_RETURN or not self.interruptions:
                await self.first_probes_done.set()

    async def _pause(self) -> None:
        """
        Wait for the probe interval, which doubles from probe to probe. An urgent interruption
        cuts this wait short; the pause then ends GROUPING_DELAY_S later.

        """
        pause_s = min(GROUPING_DELAY_S * 2.0 ** max(self.probes - 1, 0), self.max_interval_s)
        try:
            async with curio.timeout_after(pause_s):
                await self.probe_now.wait()
        except curio.TaskTimeout:
            return
        self.probe_now.clear()
        await curio.sleep(GROUPING_DELAY_S)

    async def _resolve(self, probed_at: float, result: ProbeResult) -> None:
        """
        Remove the interruptions that have a known status or are older than `max_watch_s`, and
        pass them to `on_resolved`. If `result` is REFUSES, an interruption of otherwise unknown
        status that happened no later than `probed_at`, the start of the probe, has the status
        ENDED. Other results change no status.

        """
        resolved: dict[IncarnationStatus, list[Interruption[Subject]]] = {}
        for key, interruption in list(self.interruptions.items()):
            status = self.status_of(interruption)
            if (
                status is IncarnationStatus.UNKNOWN
                and result is ProbeResult.REFUSES
                and interruption.at <= probed_at
            ):
                status = IncarnationStatus.ENDED
            if (
                status is IncarnationStatus.UNKNOWN
                and self.env.monotonic() - interruption.at <= self.max_watch_s
            ):
                continue
            del self.interruptions[key]
            resolved.setdefault(status, []).append(interruption)
        for status, interruptions in resolved.items():
            await self.on_resolved(status, interruptions)
