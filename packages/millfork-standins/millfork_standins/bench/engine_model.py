"""
A model of engines that batch requests, in simulated time.

An engine works in passes. In each it reads prompts, some tokens at a time, and writes
a few tokens of every request whose prompt has been read; what finds no slot waits.

"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Final

from millfork_routing.documents import EngineSpec

# Prompt tokens that one pass reads at the most.
READ_AT_ONCE: Final = 2048


class Agenda:
    """
    What is to happen when; times are simulated seconds.

    """

    def __init__(self) -> None:
        self.now = 0.0
        self.numbers = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def monotonic(self) -> float:
        return self.now

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """
        Have something happen so much later.

        """
        heapq.heappush(self.events, (self.now + seconds, next(self.numbers), action))

    def run_until(self, end: float) -> None:
        """
        Let everything happen that is due before `end`.

        """
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()


@dataclass(slots=True)
class Generation:
    """
    One request at an engine; sizes are tokens.

    """

    prompt: int
    answer: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    read: int = 0
    written: int = 0

    @property
    def is_read(self) -> bool:
        return self.read >= self.prompt


class EngineModel:
    """
    One engine.

    """

    def __init__(self, agenda: Agenda, figures: EngineSpec) -> None:
        self.agenda = agenda
        self.figures = figures
        self.queue: deque[Generation] = deque()
        self.running: list[Generation] = []
        self.busy = False

    def add(self, generation: Generation) -> None:
        """
        Take a request.

        """
        self.queue.append(generation)
        if not self.busy:
            self._begin_pass()

    def _begin_pass(self) -> None:
        figures = self.figures
        while self.queue and len(self.running) < figures.slots:
            self.running.append(self.queue.popleft())
        self.busy = bool(self.running)
        if not self.busy:
            return
        writers = [item for item in self.running if item.is_read]
        firsts, pass_ms = self._read()
        if writers:
            step_ms = figures.step_ms + figures.per_sequence_ms * len(writers)
            pass_ms += figures.steps_per_event * step_ms
        else:
            pass_ms += figures.step_ms
        self.agenda.after(pass_ms / 1000, lambda: self._end_pass(writers, firsts))

    def _read(self) -> tuple[list[Generation], float]:
        """
        Read on in the prompts; returns those that are read by now, and the
        milliseconds that it takes.

        """
        figures = self.figures
        firsts: list[Generation] = []
        left = READ_AT_ONCE
        for item in self.running:
            if item.is_read or not left:
                continue
            tokens = min(left, item.prompt - item.read)
            left -= tokens
            item.read += tokens
            if item.is_read:
                firsts.append(item)
        pairs = sum(item.prompt**2 for item in firsts) / 2 / 1_000_000
        read_ms = (READ_AT_ONCE - left) * 1000 / figures.read_per_s
        return firsts, read_ms + pairs * figures.pairs_ms_per_million

    def _end_pass(self, writers: list[Generation], firsts: list[Generation]) -> None:
        for item in firsts:
            item.on_first()
        for item in writers:
            item.written += self.figures.steps_per_event
            if item.written >= item.answer:
                self.running.remove(item)
                item.on_end()
        self._begin_pass()
