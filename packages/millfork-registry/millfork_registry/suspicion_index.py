"""
Indexes over the suspicions that a process knows: which to drop first if there are too many, and how
many parts of prompts are as suspicious as one of them.

"""

from collections import Counter
from dataclasses import dataclass

from millfork_core.ids import Fingerprint
from millfork_registry.suspicions import Suspicion


@dataclass(frozen=True, slots=True)
class Rivals:
    """
    How many other parts of prompts are as suspicious as one part: those with as many `ends`, or
    more, and those that as many back ends ended with, as far as their witnesses show.

    """

    by_ends: int = 0
    by_back_ends: int = 0


class SuspicionIndex:
    """
    Holds each suspicion that was added and not removed since.

    """

    def __init__(self) -> None:
        # The fingerprints with records, by how much of a suspicion is lost with the record (see
        # `_rank`); least recently changed first.
        self.ranks: tuple[dict[Fingerprint, None], ...] = ({}, {}, {})
        # The number of parts of prompts by the ends in their suspicions, and by the back ends.
        self.parts_by_ends: Counter[int] = Counter()
        self.parts_by_back_ends: Counter[int] = Counter()

    def add(self, suspicion: Suspicion) -> None:
        self.ranks[_rank(suspicion)][suspicion.fingerprint] = None
        if suspicion.witnesses:
            self.parts_by_ends[suspicion.ends] += 1
            self.parts_by_back_ends[len(suspicion.witnesses)] += 1

    def remove(self, suspicion: Suspicion) -> None:
        """
        Remove a suspicion; one that was not added, such as the clear one of an unknown
        fingerprint, is ignored.

        """
        self.ranks[_rank(suspicion)].pop(suspicion.fingerprint, None)
        if suspicion.witnesses:
            self.parts_by_ends[suspicion.ends] -= 1
            self.parts_by_back_ends[len(suspicion.witnesses)] -= 1

    def count_rivals(self, suspicion: Suspicion) -> Rivals:
        """
        Return how many other parts are as suspicious as this one, which was added.

        """
        return Rivals(
            _count_from(self.parts_by_ends, suspicion.ends) - 1,
            _count_from(self.parts_by_back_ends, len(suspicion.witnesses)) - 1,
        )

    def oldest_dispensable(self) -> Fingerprint:
        """
        Return the fingerprint of the record that changed least recently among those of the lowest
        rank.

        """
        fingerprints = next(rank for rank in self.ranks if rank)
        return next(iter(fingerprints))


def _count_from(parts: Counter[int], least: int) -> int:
    return sum(number for key, number in parts.items() if key >= least)


def _rank(suspicion: Suspicion) -> int:
    """
    Which records to keep if there are too many: those of the highest rank. A clear record has rank
    0. A single end has rank 1, as many requests and parts share it if a back end ends.

    """
    if suspicion.is_clear:
        return 0
    return 1 if max(suspicion.ends, len(suspicion.broken)) <= 1 else 2
