"""
Open-loop load on a fleet: requests arrive at their moments, come what may.

"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import curio

from millfork_standins.fleet import Fleet
from millfork_standins.layout import CALLERS_PORT
from millfork_web.client import Client, ExchangeFailed

TIMEOUT_S: Final = 15.0
OK: Final = 200
CUT: Final = 'cut'


@dataclass(frozen=True, slots=True)
class Stream:
    """
    Arrivals of one organisation: requests/s from `begin_s` to `end_s`. With
    `persistent`, a refused request comes again when it was told to.

    """

    organisation: str
    rate: float
    begin_s: float
    end_s: float
    persistent: bool = False


@dataclass(slots=True)
class Outcome:
    """
    One request's arrival (seconds since the start), time to its end, and the
    status or reason it ended with.

    """

    organisation: str
    at: float
    seconds: float
    ending: str
    sendings: int = 1


@dataclass
class Load:
    """
    Runs streams of arrivals against the entries of a fleet.

    """

    fleet: Fleet
    service: str
    deadline_ms: int = 0
    seed: int = 0
    outcomes: list[Outcome] = field(default_factory=list)

    def run(self, streams: list[Stream]) -> list[Outcome]:
        """
        Run all streams to their ends; the outcomes in the order of ending.

        """
        self.outcomes = []
        curio.run(self._run, streams)
        return self.outcomes

    async def _run(self, streams: list[Stream]) -> None:
        clients = [Client(entry.host, CALLERS_PORT) for entry in self.fleet.entries]
        began = time.monotonic()
        async with curio.TaskGroup() as group:
            for number, stream in enumerate(streams):
                chance = random.Random(f'{self.seed}/{number}')
                await group.spawn(self._arrivals, stream, chance, clients, began)
        for client in clients:
            await client.close()

    async def _arrivals(
        self, stream: Stream, chance: random.Random, clients: list[Client], began: float
    ) -> None:
        at = stream.begin_s
        async with curio.TaskGroup() as group:
            while at < stream.end_s:
                await curio.sleep(max(began + at - time.monotonic(), 0))
                client = chance.choice(clients)
                await group.spawn(self._request, stream, client, began)
                at += chance.expovariate(stream.rate)

    async def _request(self, stream: Stream, client: Client, began: float) -> None:
        sent_at = time.monotonic()
        outcome = Outcome(stream.organisation, sent_at - began, 0.0, CUT)
        token = self.fleet.caller_tokens[stream.organisation]
        headers = [('authorization', f'Bearer {token}')]
        if self.deadline_ms:
            headers.append(('millfork-timeout-ms', str(self.deadline_ms)))
        while True:
            again_in = await self._send(client, headers, outcome)
            late = time.monotonic() - began > stream.end_s
            if not stream.persistent or not again_in or late:
                break
            outcome.sendings += 1
            await curio.sleep(again_in)
        outcome.seconds = time.monotonic() - sent_at
        self.outcomes.append(outcome)

    async def _send(
        self, client: Client, headers: list[tuple[str, str]], outcome: Outcome
    ) -> float:
        """
        Send once; the seconds after which to come again, or 0.

        """
        path = f'/services/{self.service}/x'
        try:
            response = await client.fetch('GET', path, headers, timeout=TIMEOUT_S)
        except ExchangeFailed:
            outcome.ending = CUT
            return 0.0
        outcome.ending = response.header('millfork-reason') or str(response.status)
        return float(response.header('retry-after') or 0)


def right(outcomes: list[Outcome]) -> list[Outcome]:
    return [outcome for outcome in outcomes if outcome.ending == str(OK)]


def percentile(outcomes: list[Outcome], share: float) -> float:
    """
    The time to the end that `share` of the outcomes stay within, in seconds.

    """
    times = sorted(outcome.seconds for outcome in outcomes)
    return times[min(int(len(times) * share), len(times) - 1)] if times else 0.0


def endings(outcomes: list[Outcome]) -> Counter[str]:
    return Counter(outcome.ending for outcome in outcomes)
