"""
Routing to engines: first tokens in time, against random choice and round robin.

Entries as they are built (choice, prediction, admission) before modelled engines, in
simulated time. Reports of load reach the entries late, as on a real fleet.

"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from itertools import cycle
from pathlib import Path
from random import Random
from typing import Final, cast

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState, Lease, LeaseState, ServedVersion
from millfork_routing.documents import EngineSpec, Route, RouteKind, Share
from millfork_scheduling.load_queries import needs_fresh_loads
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.prediction import read_ms
from millfork_scheduling.server import Load, Server
from millfork_scheduling.server_table import ServerTable
from millfork_standins.bench.engine_model import Agenda, EngineModel, Generation
from millfork_standins.bench.rows import Sheet
from millfork_state.view import View
from millfork_web.server import Exchange
from millforkd.proxy.admission import Admission
from millforkd.proxy.job import Attempt, Job
from millforkd.versions import VersionTracker

SERVICE: Final = ServiceName('engines')
# Until then the engines fill up; requests of this time are not counted.
WARM_UP_S: Final = 3.0
SECONDS: Final = 18.0
QUICK_SECONDS: Final = 8.0
# One way, within a zone and to another, in seconds.
NEAR_S: Final = 0.0015
FAR_S: Final = 0.004
# From a question for an engine's load until the daemon beside it has looked.
LOOK_S: Final = 0.002
# Mean tokens of prompts and answers, their spread (of the logarithm), the largest.
PROMPT: Final = (930, 0.83, 3900)
# Endpoint daemons report this often, and a replica tells it entries as often.
REPORT_S: Final = 0.15
FACTORS: Final = (0.5, 0.9, 1.05, 1.2, 1.5)


@dataclass(frozen=True, slots=True)
class FleetShape:
    """
    A fleet: its engines and their slots, its entries, its zones; mean tokens of answers,
    their spread (of the logarithm) and the largest; what a step takes, prompt tokens read in
    a second, and until when a first token is in time, in ms.

    """

    name: str
    engines: int
    slots: int
    entries: int
    zones: int = 3
    answer: tuple[int, float, int] = (100, 0.7, 250)
    step_ms: float = 9.27
    read_per_s: float = 20_700
    target_ms: int = 440

    @property
    def capacity(self) -> float:
        """
        Requests of mean size a second that the engines carry with all slots taken: one
        writes in so many passes, between which the prompts of the others are read.

        """
        figures = _figures(self)
        passes = self.answer[0] / figures.steps_per_event
        step_ms = figures.step_ms + figures.per_sequence_ms * self.slots
        writing_ms = passes * figures.steps_per_event * step_ms
        reading_ms = self.slots * read_ms(figures, PROMPT[0])
        return self.engines * self.slots * 1000 / (writing_ms + reading_ms)


LARGE: Final = FleetShape('large', 60, 8, 98, 5, (70, 0.7, 180), 13.9, 13_800, 580)
SHAPES: Final = (FleetShape('small', 6, 16, 7), FleetShape('grown', 24, 12, 40), LARGE)


class RandomBook(ServerTable):
    """
    Any engine, whatever its load.

    """

    def choose(
        self,
        requirements: Requirements,
        tried: set[InstanceId],
        compared: list[Server] | None = None,
    ) -> Choice | None:
        return Choice(self.random.choice(self.index.by_service[requirements.service]))


class RoundRobinBook(ServerTable):
    """
    One engine after the other.

    """

    turns: 'cycle[int] | None' = None

    def choose(
        self,
        requirements: Requirements,
        tried: set[InstanceId],
        compared: list[Server] | None = None,
    ) -> Choice | None:
        servers = self.index.by_service[requirements.service]
        if self.turns is None:
            begin = self.random.randrange(len(servers))
            self.turns = cycle([*range(begin, len(servers)), *range(begin)])
        return Choice(servers[next(self.turns)])


BOOKS: Final[dict[str, type[ServerTable]]] = {
    'as built': ServerTable,
    'random': RandomBook,
    'round robin': RoundRobinBook,
}


@dataclass
class Outcomes:
    """
    What became of the requests counted.

    """

    counts: Counter[str] = field(default_factory=Counter)
    first_ms: list[float] = field(default_factory=list)

    def share(self, outcome: str) -> float:
        return self.counts[outcome] / max(self.counts['asked'], 1)

    def first_at(self, share: float) -> float:
        """
        The time to the first token that this share of the answered stay under, in ms.

        """
        ordered = sorted(self.first_ms) or [0.0]
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


@dataclass(frozen=True, slots=True)
class Asked:
    """
    One caller's request: sizes, when it was first made, the time that its caller gives it
    (ms), whether it comes back.

    """

    prompt: int
    answer: int
    at: float
    time_ms: int = 0
    returning: bool = False


class RoutingModel:
    """
    One run: entries before engines, and callers that come back once.

    """

    def __init__(
        self,
        shape: FleetShape,
        book: type[ServerTable],
        rate: float,
        seed: int,
        near_report_s: float = REPORT_S,
        counted_from_s: float = WARM_UP_S,
    ) -> None:
        self.shape = shape
        self.look_s = LOOK_S
        self.counted_from_s = counted_from_s
        # Between two reports of an engine to its zone, and two messages of a replica there.
        self.near_report_s = near_report_s
        self.rate = rate
        self.random = Random(seed)
        self.agenda = Agenda()
        self.figures = _figures(shape)
        self.engines = [EngineModel(self.agenda, self.figures) for _ in range(shape.engines)]
        self.admits_all = book is not ServerTable
        self.books = [self._book(book, number) for number in range(shape.entries)]
        env = Environment(
            InstanceId('entry'), ZoneId('z0'), monotonic=self.agenda.monotonic, random=self.random
        )
        self.admissions = {
            book: Admission(env, VersionTracker(env, View(), 0), lambda: shape.entries)
            for book in self.books
        }
        self.route = _route(shape)
        self.outcomes = Outcomes()

    def _book(self, book: type[ServerTable], number: int) -> ServerTable:
        made = book(
            ZoneId(f'z{number % self.shape.zones}'),
            Random(self.random.random()),
            self.agenda.monotonic,
            lambda: self.shape.entries,
        )
        made.apply_leases(_lease(index, self.shape) for index in range(self.shape.engines))
        return made

    def run(self, seconds: float) -> Outcomes:
        """
        Play so many simulated seconds.

        """
        for index in range(len(self.engines)):
            self.agenda.after(self.random.random() * REPORT_S, partial(self._report, index, 0.0))
        self._arrive()
        self.agenda.run_until(seconds)
        return self.outcomes

    def _report(self, index: int, told_far_at: float) -> None:
        """
        An engine's load goes to the entries of its zone, and now and then to all others.

        """
        engine = self.engines[index]
        zone = f'z{index % self.shape.zones}'
        state = _state(index, zone, self.agenda.now, len(engine.running), len(engine.queue))
        self._tell(state, self.near_report_s, near=True)
        if self.agenda.now - told_far_at > REPORT_S - self.near_report_s / 2:
            told_far_at = self.agenda.now
            self._tell(state, REPORT_S, near=False)
        self.agenda.after(self.near_report_s, partial(self._report, index, told_far_at))

    def _tell(self, state: EndpointState, within_s: float, near: bool) -> None:
        books = [book for book in self.books if (str(book.zone) == state.zone) == near]
        self.agenda.after(self.random.random() * within_s, partial(_deliver, books, state))

    def _arrive(self) -> None:
        self.agenda.after(self.random.expovariate(self.rate), self._arrive)
        sizes = self._size(PROMPT), self._size(self.shape.answer)
        asked = Asked(*sizes, self.agenda.now, self._time_given())
        if asked.at > self.counted_from_s:
            self.outcomes.counts['asked'] += 1
        self._send(asked)

    def _time_given(self) -> int:
        return 6000

    def _elapsed_ms(self, asked: Asked, book: ServerTable) -> int:
        """
        The time since the first try, as an entry knows it; here exactly.

        """
        return int((self.agenda.now - asked.at) * 1000)

    def _note_turned_away(self, book: ServerTable) -> None:
        """
        An entry turned a caller away.

        """

    def _size(self, of: tuple[int, float, int]) -> int:
        mean, spread, most = of
        size = self.random.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        return int(min(max(size, 10), most))

    def _send(self, asked: Asked) -> None:
        book = self.random.choice(self.books)
        requirements = self._wanted(asked)
        if self.admits_all:
            self._choose(asked, book, requirements, None)
            return
        compared = book.sample_candidates(requirements, set())
        if not needs_fresh_loads(compared, self.agenda.now, self.shape.entries):
            self._choose(asked, book, requirements, compared)
            return
        unanswered = set(compared)

        def take(server: Server, load: Load) -> None:
            server.set_load(load, self.agenda.now)
            unanswered.remove(server)
            if not unanswered:
                self._choose(asked, book, requirements, compared)

        for server in compared:
            self._ask(book, server, take)

    def _wanted(self, asked: Asked) -> Requirements:
        return Requirements(SERVICE, self.figures, 0, 1, asked.prompt)

    def _ask(self, book: ServerTable, server: Server, take: Callable[[Server, Load], None]) -> None:
        """
        Ask the daemon beside an engine for its load.

        """
        way_s = NEAR_S if server.zone == book.zone else FAR_S
        mine, own_unread = server.own_requests, server.own_unread

        def look() -> None:
            engine = self.engines[server.port]
            load = Load(len(engine.running), len(engine.queue), 1.0, mine, own_unread)
            self.agenda.after(way_s, partial(take, server, load))

        self.agenda.after(way_s + self.look_s, look)

    def _choose(
        self,
        asked: Asked,
        book: ServerTable,
        requirements: Requirements,
        compared: list[Server] | None,
    ) -> None:
        choice = book.choose(requirements, set(), compared)
        if choice is None:
            self._count(asked, 'refused')
            return
        job = self._job(requirements, self._elapsed_ms(asked, book))
        wait_ms = 0 if self.admits_all else self.admissions[book].return_after_ms(job, choice)
        if wait_ms and (freest := book.freest_candidates(requirements, set())):
            choice = book.choose(requirements, set(), freest) or choice
            wait_ms = self.admissions[book].return_after_ms(job, choice)
        if not wait_ms:
            self._start(asked, book, choice)
            return
        self._note_turned_away(book)
        if asked.returning:
            self._count(asked, 'refused')
            return
        again = replace(asked, returning=True)
        self.agenda.after(wait_ms / 1000, lambda: self._send(again))

    def _job(self, requirements: Requirements, elapsed_ms: int) -> Job:
        # Nothing is answered here, so there is no exchange.
        exchange = cast(Exchange, None)
        caller = CallerRequest('id', 'host', '/')
        now = self.agenda.now
        route = self.route
        return Job(exchange, caller, route, None, requirements, 1, now, now + 6, 1, elapsed_ms)

    def _start(self, asked: Asked, book: ServerTable, choice: Choice) -> None:
        attempt = Attempt(choice, self.agenda.now)
        attempt.begin()
        way_s = NEAR_S if choice.server.zone == book.zone else FAR_S

        def first() -> None:
            took_ms = (self.agenda.now + way_s - attempt.started_at) * 1000
            book.note_first_token(choice.server, took_ms - choice.spec_first_token_ms)
            attempt.mark_first_token()
            self._note_first(asked, (self.agenda.now + way_s - asked.at) * 1000)

        def end() -> None:
            choice.server.note_service_time(self.agenda.now - attempt.started_at)
            attempt.end()

        generation = Generation(asked.prompt, asked.answer, first, end)
        engine = self.engines[choice.server.port]
        self.agenda.after(way_s, lambda: engine.add(generation))

    def _note_first(self, asked: Asked, first_ms: float) -> None:
        self._count(asked, 'in time' if first_ms <= self.shape.target_ms else 'late')
        if asked.at > self.counted_from_s:
            self.outcomes.first_ms.append(first_ms)

    def _count(self, asked: Asked, outcome: str) -> None:
        if asked.at > self.counted_from_s:
            self.outcomes.counts[outcome] += 1


def _deliver(books: list[ServerTable], state: EndpointState) -> None:
    for book in books:
        book.apply_reports([state])


def _figures(shape: FleetShape) -> EngineSpec:
    return EngineSpec(
        slots=shape.slots,
        tokens=317_000,
        step_ms=shape.step_ms,
        per_sequence_ms=0.0232,
        per_context_ms=0.0322,
        read_per_s=shape.read_per_s,
        pairs_ms_per_million=1.18,
        steps_per_event=5,
        usual_prompt=PROMPT[0],
        usual_answer=shape.answer[0],
        model='m',
        layers=16,
        pieces=96,
        piece_bytes=24_576,
        warm_s=0.3,
    )


def _route(shape: FleetShape) -> Route:
    shares = (Share(SERVICE, 1),)
    return Route(
        'r', 'host', '/', RouteKind.STREAMING, 6000, shape.target_ms, 1, shares, 2, True, True, 400
    )  # fmt: skip


def _lease(index: int, shape: FleetShape) -> Lease:
    served = (ServedVersion('m', 1, 0, 16),)
    zone = f'z{index % shape.zones}'
    return Lease(
        f'i-{index}', SERVICE, 'h', index, zone, shape.slots, LeaseState.READY, 1, 'r', served
    )


def _state(index: int, zone: str, now: float, running: int, queued: int) -> EndpointState:
    return EndpointState(
        f'e-{index}',
        SERVICE,
        zone,
        'h',
        index,
        int(now * 1000),
        reachable=True,
        running=running,
        queued=queued,
        served=(ServedVersion('m', 1, 0, 16),),
    )


def run(repetitions: int, quick: bool) -> Path:
    """
    The experiment.

    """
    seconds = QUICK_SECONDS if quick else SECONDS
    settings = {'seconds': seconds, 'repetitions': repetitions}
    sheet = Sheet('routing', settings)
    for seed in range(repetitions):
        for shape in SHAPES:
            for factor in FACTORS:
                for name, book in BOOKS.items():
                    rate = shape.capacity * factor
                    found = RoutingModel(shape, book, rate, seed).run(seconds)
                    case = f'{shape.name}, {factor:.1f} x, {name}'
                    baseline = f'{shape.name}, {factor:.1f} x, random'
                    sheet.add(case, 'in_time', 'share', found.share('in time'), baseline)
                    sheet.add(case, 'late', 'share', found.share('late'))
                    sheet.add(case, 'refused', 'share', found.share('refused'))
                    sheet.add(case, 'first_token_p50', 'ms', found.first_at(0.5))
                    sheet.add(case, 'first_token_p95', 'ms', found.first_at(0.95))
    return sheet.write()
