"""
Chooses the version that an engine loads next.

Usually this is the newest version. If its pieces do not arrive, for example because the origin is
down, the engine would serve nothing from the end of the served version until the newest version
is complete. If this time is shorter with an intermediate version (newer than the served one,
older than the newest), the engine loads the intermediate version first.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_routing.documents import EngineSpec
from millforkd.sidecar.layer_assignment import Layers
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from millforkd.versions import VersionTracker

# The version that engines load if the configuration does not set one.
FIRST_VERSION: Final = 1
# Each change of version costs an engine this many seconds of serving time: a change takes 1.4 s,
# in which the engine works at a third of its rate.
VERSION_CHANGE_S: Final = 1.0
# A version counts as stuck if none of its missing pieces arrived for this many seconds. A piece
# takes 0.2 s on a link that is throttled to a quarter of its rate.
STUCK_AFTER_S: Final = 1.0
# A version remains stuck for this many seconds, or until one of its pieces arrives.
STUCK_FOR_S: Final = 1.5

log = logger(Component.WEIGHTS)


@dataclass(frozen=True, slots=True)
class Target:
    """
    The version that the engine is to serve, of a model with `layers` layers in `pieces` pieces.
    Times are monotonic seconds: at `chosen_at` this daemon chose the version; at `due` the
    engine must start to change at the latest, because entries send no more requests to the
    served version (infinity if that version has no end).

    """

    weights: WeightsId
    layers: int
    pieces: int
    chosen_at: float
    due: float

    def pieces_of(self, layer: int) -> range:
        """
        The indexes of the pieces that contain a layer.

        """
        return Layers(layer, layer + 1).pieces(self.layers, self.pieces)


class TargetChooser:
    """
    Chooses the target among the versions that have been set in the configuration.

    """

    def __init__(
        self,
        env: Environment,
        versions: VersionTracker,
        store: PieceStore,
        served_version: Callable[[], int],
        bytes_per_s: float,
    ) -> None:
        self.env = env
        self.versions = versions
        self.store = store
        # Returns the version that the engine serves, 0 for none.
        self.served_version = served_version
        # The rate at which weights can be transferred over this instance's link.
        self.bytes_per_s = bytes_per_s
        self.current: Target | None = None
        # The number of pieces of the target that this daemon holds, and the time of the last
        # change of this number (monotonic seconds).
        self.progress = (0, 0.0)
        # Until when each version counts as stuck (monotonic seconds).
        self.stuck_until: dict[int, float] = {}

    def choose(self, spec: EngineSpec) -> Target:
        """
        Choose the target of an engine with this specification, record it in `current` and
        return it.

        """
        self.versions.refresh()
        now = self.env.monotonic()
        ends = self._ends_at(spec, self.served_version())
        weights = WeightsId(spec.model, self._choose_version(spec, now, ends))
        current = self.current
        chosen_at = current.chosen_at if current is not None and current.weights == weights else now
        due = ends - LAST_SEND_BEFORE_END_S
        target = Target(weights, spec.layers, spec.pieces, chosen_at, due)
        if current is None or current.weights != weights:
            self.progress = (0, now)
            log.notice('New target version: {}. served={}', weights, self.served_version())
        self.current = target
        self._track_progress(target, now)
        return target

    def _ends_at(self, spec: EngineSpec, version: int) -> float:
        """
        When entries cancel the requests that were sent to a version but have not begun there
        (monotonic seconds); infinity for version 0 (the engine serves nothing) and for the
        newest version, which has no end.

        """
        ends = self.versions.ends_at(spec.model, version) if version else None
        return ends if ends is not None else float('inf')

    def _choose_version(self, spec: EngineSpec, now: float, ends: float) -> int:
        newest = self.versions.newest(spec.model) or FIRST_VERSION
        intermediate = [
            version
            for version in self.versions.newer_than(spec.model, self.served_version())
            if version != newest
            and not self._is_stuck(version, now)
            and self._is_worthwhile(spec, version, now)
        ]
        best, min_idle_s = newest, self._idle_direct_s(spec, newest, now, ends)
        for version in intermediate:
            idle_s = self._idle_via_s(spec, version, now, ends)
            if idle_s < min_idle_s:
                best, min_idle_s = version, idle_s
        return best

    def _is_worthwhile(self, spec: EngineSpec, version: int, now: float) -> bool:
        """
        Whether the engine could fetch the missing pieces of an intermediate version and change
        to that version before entries stop sending requests to it.

        """
        complete_at = now + self._transfer_s(spec, version)
        return (
            complete_at + VERSION_CHANGE_S < self._ends_at(spec, version) - LAST_SEND_BEFORE_END_S
        )

    def _idle_via_s(self, spec: EngineSpec, version: int, now: float, ends: float) -> float:
        """
        For how many seconds the engine would serve nothing if it loaded an intermediate version
        and then the newest one, plus the cost of the second change. An engine is idle from when
        entries stop sending to its version until the pieces of the next version have arrived
        and the change is complete.

        """
        complete_at = now + self._transfer_s(spec, version)
        full_transfer_s = spec.pieces * spec.piece_bytes / self.bytes_per_s
        served_until = max(now, ends - LAST_SEND_BEFORE_END_S)
        idle_before_s = max(complete_at + VERSION_CHANGE_S - served_until, 0.0)
        last_sent_at = self._ends_at(spec, version) - LAST_SEND_BEFORE_END_S
        idle_after_s = max(complete_at + full_transfer_s + VERSION_CHANGE_S - last_sent_at, 0.0)
        return idle_before_s + idle_after_s + VERSION_CHANGE_S

    def _idle_direct_s(self, spec: EngineSpec, newest: int, now: float, ends: float) -> float:
        """
        For how many seconds the engine would serve nothing if it loaded the newest version next;
        0 if the served version has no end, otherwise infinity if the newest version is stuck.

        """
        if ends == float('inf'):
            return 0.0
        if self._is_stuck(newest, now):
            return float('inf')
        complete_at = now + self._transfer_s(spec, newest)
        return max(complete_at + VERSION_CHANGE_S - max(now, ends - LAST_SEND_BEFORE_END_S), 0.0)

    def _transfer_s(self, spec: EngineSpec, version: int) -> float:
        """
        Seconds that the link needs to transfer the missing pieces of a version.

        """
        held_count = self._held_count(WeightsId(spec.model, version))
        return (spec.pieces - held_count) * spec.piece_bytes / self.bytes_per_s

    def _held_count(self, weights: WeightsId) -> int:
        held = self.store.find(weights)
        return len(held.pieces) if held is not None else 0

    def _is_stuck(self, version: int, now: float) -> bool:
        return self.stuck_until.get(version, 0.0) > now

    def _track_progress(self, target: Target, now: float) -> None:
        """
        Mark the target as stuck if pieces are missing and none arrived for `STUCK_AFTER_S`;
        remove the mark when a piece arrives, all are held, or the engine serves the target.

        """
        held_count = self._held_count(target.weights)
        if target.weights.version == self.served_version():
            held_count = target.pieces
        last_count, changed_at = self.progress
        if held_count != last_count or held_count >= target.pieces:
            self.progress = (held_count, now)
            self.stuck_until.pop(target.weights.version, None)
            return
        version = target.weights.version
        if now - changed_at > STUCK_AFTER_S and not self._is_stuck(version, now):
            self.stuck_until[version] = now + STUCK_FOR_S
            log.info(
                'No piece arrived for {:.1f} s. weights={} here={}',
                now - changed_at,
                target.weights,
                held_count,
            )
