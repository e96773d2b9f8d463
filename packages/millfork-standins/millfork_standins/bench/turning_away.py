"""
An engine that turns requests away at once, and what entries take from that.

The routing model with one engine of six that runs none, or not all, of what reaches it: it
takes no place there, so its reports say that it is free.

"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Final

from millfork_core.verdicts import Reason
from millfork_scheduling.placement import Choice
from millfork_scheduling.retry_after import refusal_wait_ms
from millfork_scheduling.server import Server
from millfork_scheduling.server_table import ServerTable
from millfork_standins.bench.routing import (
    FAR_S,
    NEAR_S,
    QUICK_SECONDS,
    SECONDS,
    SHAPES,
    Asked,
    FleetShape,
    RoutingModel,
)
from millfork_standins.bench.rows import Sheet

SMALL, GROWN, _ = SHAPES
FACTORS: Final = (0.5, 0.8)
# Of what reaches it, what the engine turns away.
SHARES: Final = (1.0, 0.4)
SHEDDING: Final = 0

Note = Callable[[Server, float, float], None]


def nothing(server: Server, sent_at: float, now: float) -> None:
    """
    As entries did before.

    """


def left(server: Server, sent_at: float, now: float) -> None:
    """
    As entries do: it is left alone for a while, longer each time.

    """
    server.note_turned_away(sent_at, now)


def failed(server: Server, sent_at: float, now: float) -> None:
    """
    It counts as a failure, as an answer that broke off does.

    """
    server.note_failure(now)


def rated(server: Server, sent_at: float, now: float) -> None:
    """
    It counts in the rate of failures alone.

    """
    server.note_outcome(failed=True)


WAYS: Final[dict[str, Note]] = {
    'nothing': nothing,
    'left alone': left,
    'failure': failed,
    'rate': rated,
}


class SheddingModel(RoutingModel):
    """
    One engine turns a share of its requests away; those go to another one once.

    """

    def __init__(
        self, shape: FleetShape, rate: float, seed: int, note: Note, shed_share: float
    ) -> None:
        super().__init__(shape, ServerTable, rate, seed)
        self.note = note
        self.shed_share = shed_share

    def _start(self, asked: Asked, book: ServerTable, choice: Choice) -> None:
        server = choice.server
        sheds = server.port == SHEDDING and self.random.random() < self.shed_share
        self._count(asked, 'sends')
        if not sheds:
            server.note_accepted(self.agenda.now)
            super()._start(asked, book, choice)
            return
        self._count(asked, 'turned away')
        way_s = NEAR_S if server.zone == book.zone else FAR_S
        sent_at = self.agenda.now
        self.agenda.after(2 * way_s, partial(self._again, asked, book, server, sent_at))

    def _again(self, asked: Asked, book: ServerTable, server: Server, sent_at: float) -> None:
        self.note(server, sent_at, self.agenda.now)
        other = book.choose(self._wanted(asked), {server.instance})
        if other is not None:
            super()._start(asked, book, other)
            self._count(asked, 'sends')
            return
        if asked.returning:
            self._count(asked, 'refused')
            return
        wait_s = refusal_wait_ms(Reason.BUSY) / 1000
        self.agenda.after(wait_s, partial(self._send, replace(asked, returning=True)))


def run(repetitions: int, quick: bool) -> Path:
    """
    The experiment, a seed for each repetition.

    """
    seconds = QUICK_SECONDS if quick else SECONDS
    sheet = Sheet('turning-away', {'seconds': seconds, 'repetitions': repetitions})
    for seed in range(repetitions):
        for shape in (SMALL, GROWN):
            for factor in FACTORS:
                for share in SHARES:
                    for name, note in WAYS.items():
                        rate = shape.capacity * factor
                        found = SheddingModel(shape, rate, seed, note, share).run(seconds)
                        case = f'{shape.name}, {factor:.1f} x, {share:.1f} shed, '
                        baseline = f'{case}nothing'
                        case += name
                        sheet.add(case, 'in_time', 'share', found.share('in time'), baseline)
                        sheds = found.counts['turned away'] / max(found.counts['sends'], 1)
                        sheet.add(case, 'turned_away', 'of sends', sheds)
    return sheet.write()
