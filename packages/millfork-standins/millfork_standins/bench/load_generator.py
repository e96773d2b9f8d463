"""
Open-loop load on a fleet: requests arrive at random times, whether or not earlier ones have ended.

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

REQUEST_TIMEOUT_S: Final = 15.0
OK_STATUS: Final = 200
NO_RESPONSE: Final = 'cut'


@dataclass(frozen=True, slots=True)
class ArrivalStream:
    """
    Requests of one organisation, which arrive from `start_s` to `end_s` (seconds since the start of
    the run) at an average rate of `rate_per_s`. With `persistent`, a request that is refused before
    `end_s` is sent again after the delay in the `retry-after` header of the refusal.

    """

    organisation: str
    rate_per_s: float
    start_s: float
    end_s: float
    persistent: bool = False


@dataclass(slots=True)
class Outcome:
    """
    The outcome of one request: its arrival (seconds since the start of the run), its duration
    including all retries, and the number of attempts. `status_or_reason` is the refusal reason in
    the last response, the status if that response gives no reason, or `NO_RESPONSE` if the last
    attempt got no response.

    """

    organisation: str
    arrived_at_s: float
    duration_s: float
    status_or_reason: str
    attempts: int = 1


@dataclass
class LoadGenerator:
    """
    Sends streams of requests to the entries of a fleet.

    """

    fleet: Fleet
    service: str
    deadline_ms: int = 0
    seed: int = 0
    outcomes: list[Outcome] = field(default_factory=list)

    def run(self, streams: list[ArrivalStream]) -> list[Outcome]:
        """
        Send the requests of all streams and wait for the responses. Returns the outcomes in the
        order in which the requests ended.

        """
        self.outcomes = []
        curio.run(self._run, streams)
        return self.outcomes

    async def _run(self, streams: list[ArrivalStream]) -> None:
        clients = [Client(entry.host, CALLERS_PORT) for entry in self.fleet.entries]
        started_at = time.monotonic()
        async with curio.TaskGroup() as group:
            for stream_number, stream in enumerate(streams):
                random_source = random.Random(f'{self.seed}/{stream_number}')
                await group.spawn(self._run_stream, stream, random_source, clients, started_at)
        for client in clients:
            await client.close()

    async def _run_stream(
        self,
        stream: ArrivalStream,
        random_source: random.Random,
        clients: list[Client],
        started_at: float,
    ) -> None:
        next_arrival_s = stream.start_s
        async with curio.TaskGroup() as group:
            while next_arrival_s < stream.end_s:
                await curio.sleep(max(started_at + next_arrival_s - time.monotonic(), 0))
                client = random_source.choice(clients)
                await group.spawn(self._send_with_retries, stream, client, started_at)
                next_arrival_s += random_source.expovariate(stream.rate_per_s)

    async def _send_with_retries(
        self, stream: ArrivalStream, client: Client, started_at: float
    ) -> None:
        sent_at = time.monotonic()
        outcome = Outcome(stream.organisation, sent_at - started_at, 0.0, NO_RESPONSE)
        token = self.fleet.caller_tokens[stream.organisation]
        headers = [('authorization', f'Bearer {token}')]
        if self.deadline_ms:
            headers.append(('millfork-timeout-ms', str(self.deadline_ms)))
        while True:
            retry_after_s = await self._send(client, headers, outcome)
            is_after_end = time.monotonic() - started_at > stream.end_s
            if not stream.persistent or not retry_after_s or is_after_end:
                break
            outcome.attempts += 1
            await curio.sleep(retry_after_s)
        outcome.duration_s = time.monotonic() - sent_at
        self.outcomes.append(outcome)

    async def _send(
        self, client: Client, headers: list[tuple[str, str]], outcome: Outcome
    ) -> float:
        """
        Send the request once and record the result in `outcome`. Returns the seconds to wait before
        a retry, or 0 for no retry.

        """
        path = f'/services/{self.service}/x'
        try:
            response = await client.fetch('GET', path, headers, timeout=REQUEST_TIMEOUT_S)
        except ExchangeFailed:
            outcome.status_or_reason = NO_RESPONSE
            return 0.0
        outcome.status_or_reason = response.header('millfork-reason') or str(response.status)
        return float(response.header('retry-after') or 0)


def successful(outcomes: list[Outcome]) -> list[Outcome]:
    return [outcome for outcome in outcomes if outcome.status_or_reason == str(OK_STATUS)]


def percentile(outcomes: list[Outcome], share: float) -> float:
    """
    The duration in seconds within which this share of the requests ended; 0 without outcomes.

    """
    times = sorted(outcome.duration_s for outcome in outcomes)
    return times[min(int(len(times) * share), len(times) - 1)] if times else 0.0


def count_by_status_or_reason(outcomes: list[Outcome]) -> Counter[str]:
    return Counter(outcome.status_or_reason for outcome in outcomes)
