"""
Which version an engine is brought to next.

The newest, as a rule. Where its pieces do not come (an origin that is down), and
one named in between can be here before the version that the engine serves ends,
that one comes first: the engine would else serve nothing meanwhile.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_routing.documents import EngineFigures
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.switching import LAST_SENT_S
from millforkd.versions import Versions

# The first version of every model.
FIRST_VERSION: Final = 1
# What one more change costs an engine: 1.4 s, in which it works for a third.
VERSION_CHANGE_S: Final = 1.0
# A version of which nothing came for this long is not to be had for some time. A
# piece takes 0.2 s on a link squeezed to a quarter.
STUCK_AFTER_S: Final = 1.0
STUCK_FOR_S: Final = 1.5

log = logger(Part.WEIGHTS)


@dataclass(frozen=True, slots=True)
class Target:
    """
    What the engine is to serve, since when this daemon knows, and when the
    engine must change at the latest (monotonic seconds; never: infinity). The model has
    `layers` layers in `pieces` pieces.

    """

    weights: WeightsId
    layers: int
    pieces: int
    since: float
    due: float


class TargetChooser:
    """
    Chooses among the versions named.

    """

    def __init__(
        self,
        env: Environment,
        versions: Versions,
        store: PieceStore,
        served: Callable[[], int],
        bytes_per_s: float,
    ) -> None:
        self.env = env
        self.versions = versions
        self.store = store
        # The version that the engine serves, 0 for none.
        self.served = served
        self.bytes_per_s = bytes_per_s
        self.current: Target | None = None
        # The pieces of the target that are here, and since when there are as many.
        self.progress = (0, 0.0)
        # Versions of which nothing comes, and until when to believe that.
        self.stuck_until: dict[int, float] = {}

    def choose(self, figures: EngineFigures) -> Target:
        """
        The version to bring next, for an engine of these figures.

        """
        self.versions.refresh()
        now = self.env.monotonic()
        ends = self._ends_at(figures, self.served())
        weights = WeightsId(figures.model, self._version(figures, now, ends))
        current = self.current
        since = current.since if current is not None and current.weights == weights else now
        due = ends - LAST_SENT_S
        target = Target(weights, figures.layers, figures.pieces, since, due)
        if current is None or current.weights != weights:
            self.progress = (0, now)
            log.notice('Version to be served: {}. served={}', weights, self.served())
        self.current = target
        self._track_progress(target, now)
        return target

    def _ends_at(self, figures: EngineFigures, version: int) -> float:
        """
        When a version may no longer be begun on; of none, this does not count.

        """
        ends = self.versions.ends_at(figures.model, version) if version else None
        return ends if ends is not None else float('inf')

    def _version(self, figures: EngineFigures, now: float, ends: float) -> int:
        newest = self.versions.newest(figures.model) or FIRST_VERSION
        intermediate = [
            version
            for version in self.versions.newer_than(figures.model, self.served())
            if version != newest
            and not self._is_stuck(version, now)
            and self._is_worthwhile(figures, version, now)
        ]
        best, least_idle_s = newest, self._idle_direct_s(figures, newest, now, ends)
        for version in intermediate:
            idle_s = self._idle_via_s(figures, version, now, ends)
            if idle_s < least_idle_s:
                best, least_idle_s = version, idle_s
        return best

    def _is_worthwhile(self, figures: EngineFigures, version: int, now: float) -> bool:
        """
        Whether a version in between would be served for longer than the change costs.

        """
        complete_at = now + self._transfer_s(figures, version)
        return complete_at + VERSION_CHANGE_S < self._ends_at(figures, version) - LAST_SENT_S

    def _idle_via_s(self, figures: EngineFigures, version: int, now: float, ends: float) -> float:
        """
        For how long the engine would serve nothing on its way to the newest
        with another version in between, the second change included. An engine that
        has not changed when entries stop sending to the old version stands idle with
        all others, until its pieces are here and the change is over.

        """
        complete_at = now + self._transfer_s(figures, version)
        full_transfer_s = figures.pieces * figures.piece_bytes / self.bytes_per_s
        served_until = max(now, ends - LAST_SENT_S)
        idle_before_s = max(complete_at + VERSION_CHANGE_S - served_until, 0.0)
        last_sent = self._ends_at(figures, version) - LAST_SENT_S
        idle_after_s = max(complete_at + full_transfer_s + VERSION_CHANGE_S - last_sent, 0.0)
        return idle_before_s + idle_after_s + VERSION_CHANGE_S

    def _idle_direct_s(self, figures: EngineFigures, newest: int, now: float, ends: float) -> float:
        """
        For how long the engine would serve nothing on its way to the newest.

        """
        if ends == float('inf'):
            return 0.0
        if self._is_stuck(newest, now):
            return float('inf')
        complete_at = now + self._transfer_s(figures, newest)
        return max(complete_at + VERSION_CHANGE_S - max(now, ends - LAST_SENT_S), 0.0)

    def _transfer_s(self, figures: EngineFigures, version: int) -> float:
        """
        Seconds in which the link could bring what is not here of a version.

        """
        present = self._pieces_here(WeightsId(figures.model, version))
        return (figures.pieces - present) * figures.piece_bytes / self.bytes_per_s

    def _pieces_here(self, weights: WeightsId) -> int:
        held = self.store.find(weights)
        return len(held.pieces) if held is not None else 0

    def _is_stuck(self, version: int, now: float) -> bool:
        return self.stuck_until.get(version, 0.0) > now

    def _track_progress(self, target: Target, now: float) -> None:
        """
        Note whether pieces of the target still come.

        """
        present = self._pieces_here(target.weights)
        if target.weights.version == self.served():
            present = target.pieces
        count, at = self.progress
        if present != count or present >= target.pieces:
            self.progress = (present, now)
            self.stuck_until.pop(target.weights.version, None)
            return
        version = target.weights.version
        if now - at > STUCK_AFTER_S and not self._is_stuck(version, now):
            self.stuck_until[version] = now + STUCK_FOR_S
            log.info(
                'No piece came for {:.1f} s. weights={} here={}', now - at, target.weights, present
            )
