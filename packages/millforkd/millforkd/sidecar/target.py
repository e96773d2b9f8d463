"""
Chooses the version that an engine loads next.

Usually this is the newest version. If its pieces do not arrive (the origin is down), and an
intermediate version can be complete before the served version ends, the intermediate
version comes first: the engine would otherwise serve nothing in the meantime.

"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_routing.documents import EngineSpec
from millforkd.sidecar.pieces import PieceStore, WeightsId
from millforkd.version_switching import LAST_SEND_BEFORE_END_S
from millforkd.versions import VersionTracker

# The first version of every model.
FIRST_VERSION: Final = 1
# Serving time that one more change costs an engine: a change takes 1.4 s, in which the
# engine works at a third of its rate.
VERSION_CHANGE_S: Final = 1.0
# A version of which no piece arrived for this long counts as stuck. A piece takes 0.2 s on a
# link that is throttled to a quarter of its rate.
STUCK_AFTER_S: Final = 1.0
# A version counts as stuck for this long.
STUCK_FOR_S: Final = 1.5

log = logger(Component.WEIGHTS)


@dataclass(frozen=True, slots=True)
class Target:
    """
    The version that the engine is to serve, of a model with `layers` layers in `pieces`
    pieces. `chosen_at` is when this daemon chose it, `due` when the engine must change at the
    latest (monotonic seconds, infinity for never).

    """

    weights: WeightsId
    layers: int
    pieces: int
    chosen_at: float
    due: float


class TargetChooser:
    """
    Chooses the target among the versions that the leader has named.

    """

    def __init__(
        self,
        env: Environment,
        versions: VersionTracker,
        store: PieceStore,
        served: Callable[[], int],
        bytes_per_s: float,
    ) -> None:
        self.env = env
        self.versions = versions
        self.store = store
        # Returns the version that the engine serves, 0 for none.
        self.served = served
        self.bytes_per_s = bytes_per_s
        self.current: Target | None = None
        # The number of held pieces of the target, and since when (monotonic seconds).
        self.progress = (0, 0.0)
        # Versions that count as stuck, and until when (monotonic seconds).
        self.stuck_until: dict[int, float] = {}

    def choose(self, spec: EngineSpec) -> Target:
        """
        The next target of an engine with this specification.

        """
        self.versions.refresh()
        now = self.env.monotonic()
        ends = self._ends_at(spec, self.served())
        weights = WeightsId(spec.model, self._choose_version(spec, now, ends))
        current = self.current
        chosen_at = current.chosen_at if current is not None and current.weights == weights else now
        due = ends - LAST_SEND_BEFORE_END_S
        target = Target(weights, spec.layers, spec.pieces, chosen_at, due)
        if current is None or current.weights != weights:
            self.progress = (0, now)
            log.notice('New target version: {}. served={}', weights, self.served())
        self.current = target
        self._track_progress(target, now)
        return target

    def _ends_at(self, spec: EngineSpec, version: int) -> float:
        """
        The time from which no request may start on a version (monotonic seconds);
        infinity for version 0 or one without an end.

        """
        ends = self.versions.ends_at(spec.model, version) if version else None
        return ends if ends is not None else float('inf')

    def _choose_version(self, spec: EngineSpec, now: float, ends: float) -> int:
        newest = self.versions.newest(spec.model) or FIRST_VERSION
        intermediate = [
            version
            for version in self.versions.newer_than(spec.model, self.served())
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
        Whether an intermediate version would be served for longer than its change costs.

        """
        complete_at = now + self._transfer_s(spec, version)
        return (
            complete_at + VERSION_CHANGE_S < self._ends_at(spec, version) - LAST_SEND_BEFORE_END_S
        )

    def _idle_via_s(self, spec: EngineSpec, version: int, now: float, ends: float) -> float:
        """
        For how many seconds the engine would serve nothing on the way to the newest version
        via an intermediate one, including the second change. An engine that has not
        changed when entries stop sending to the old version is idle, like all others, until
        its pieces have arrived and the change is complete.

        """
        complete_at = now + self._transfer_s(spec, version)
        full_transfer_s = spec.pieces * spec.piece_bytes / self.bytes_per_s
        served_until = max(now, ends - LAST_SEND_BEFORE_END_S)
        idle_before_s = max(complete_at + VERSION_CHANGE_S - served_until, 0.0)
        last_sent = self._ends_at(spec, version) - LAST_SEND_BEFORE_END_S
        idle_after_s = max(complete_at + full_transfer_s + VERSION_CHANGE_S - last_sent, 0.0)
        return idle_before_s + idle_after_s + VERSION_CHANGE_S

    def _idle_direct_s(self, spec: EngineSpec, newest: int, now: float, ends: float) -> float:
        """
        For how many seconds the engine would serve nothing if it loaded the newest version next.

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
        Mark the target as stuck if no piece of it arrived for `STUCK_AFTER_S`.

        """
        held_count = self._held_count(target.weights)
        if target.weights.version == self.served():
            held_count = target.pieces
        count, at = self.progress
        if held_count != count or held_count >= target.pieces:
            self.progress = (held_count, now)
            self.stuck_until.pop(target.weights.version, None)
            return
        version = target.weights.version
        if now - at > STUCK_AFTER_S and not self._is_stuck(version, now):
            self.stuck_until[version] = now + STUCK_FOR_S
            log.info(
                'No piece arrived for {:.1f} s. weights={} here={}',
                now - at,
                target.weights,
                held_count,
            )
