"""
A model of engines that batch requests, in simulated time.

An engine works in passes. In each pass it reads a limited number of prompt tokens, and writes
a few answer tokens of every request whose prompt was read in earlier passes. Requests without a
slot wait in a queue.

"""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Final

from millfork_routing.documents import EngineSpec

MAX_PROMPT_TOKENS_PER_PASS: Final = 2048


class EventScheduler:
    """
    Runs actions in the order of their simulated times (seconds).

    """

    def __init__(self) -> None:
        self.now = 0.0
        self.sequence_numbers = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def monotonic(self) -> float:
        return self.now

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """
        Schedule an action this many simulated seconds from now.

        """
        heapq.heappush(self.events, (self.now + seconds, next(self.sequence_numbers), action))

    def run_until(self, end: float) -> None:
        """
        Run all actions that are due before the simulated time `end`, in the order of their times.

        """
        while self.events and self.events[0][0] < end:
            self.now, _, action = heapq.heappop(self.events)
            action()


@dataclass(slots=True)
class Generation:
    """
    One request at an engine, with its sizes and progress in tokens.

    """

    prompt_tokens: int
    answer_tokens: int
    on_first_token: Callable[[], None]
    on_end: Callable[[], None]
    tokens_read: int = 0
    tokens_written: int = 0

    @property
    def is_prompt_read(self) -> bool:
        return self.tokens_read >= self.prompt_tokens


class EngineModel:
    """
    One engine: a queue of requests, and a limited number of slots for running requests.

    """

    def __init__(self, scheduler: EventScheduler, engine_spec: EngineSpec) -> None:
        self.scheduler = scheduler
        self.engine_spec = engine_spec
        self.queue: deque[Generation] = deque()
        self.running: list[Generation] = []
        self.busy = False

    def submit(self, generation: Generation) -> None:
        """
        Queue a request, and start a pass if the engine is idle.

        """
        self.queue.append(generation)
        if not self.busy:
            self._start_pass()

    def _start_pass(self) -> None:
        engine_spec = self.engine_spec
        while self.queue and len(self.running) < engine_spec.slots:
            self.running.append(self.queue.popleft())
        self.busy = bool(self.running)
        if not self.busy:
            return
        generating = [generation for generation in self.running if generation.is_prompt_read]
        first_token_due, pass_ms = self._read_prompts()
        if generating:
            step_ms = engine_spec.step_ms + engine_spec.per_sequence_ms * len(generating)
            pass_ms += engine_spec.steps_per_event * step_ms
        else:
            pass_ms += engine_spec.step_ms
        self.scheduler.schedule(
            pass_ms / 1000, lambda: self._finish_pass(generating, first_token_due)
        )

    def _read_prompts(self) -> tuple[list[Generation], float]:
        """
        Read prompt tokens for one pass. Returns the requests whose last prompt token is read in
        this pass, and the duration of the reading in ms.

        """
        engine_spec = self.engine_spec
        first_token_due: list[Generation] = []
        tokens_left = MAX_PROMPT_TOKENS_PER_PASS
        for generation in self.running:
            if generation.is_prompt_read or not tokens_left:
                continue
            tokens = min(tokens_left, generation.prompt_tokens - generation.tokens_read)
            tokens_left -= tokens
            generation.tokens_read += tokens
            if generation.is_prompt_read:
                first_token_due.append(generation)
        million_pairs = (
            sum(generation.prompt_tokens**2 for generation in first_token_due) / 2 / 1_000_000
        )
        read_ms = (MAX_PROMPT_TOKENS_PER_PASS - tokens_left) * 1000 / engine_spec.read_per_s
        return first_token_due, read_ms + million_pairs * engine_spec.pairs_ms_per_million

    def _finish_pass(self, generating: list[Generation], first_token_due: list[Generation]) -> None:
        for generation in first_token_due:
            generation.on_first_token()
        for generation in generating:
            generation.tokens_written += self.engine_spec.steps_per_event
            if generation.tokens_written >= generation.answer_tokens:
                self.running.remove(generation)
                generation.on_end()
        self._start_pass()
