"""
Which versions of a model's weights a request may begin on.

When the leader names a new version, requests may still begin on older versions until the
cutoff, `version_ms` later. From then on only the new version may be used.

"""

from collections.abc import Callable
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_registry.version_cutoffs import MS_PER_S, VersionCutoffs
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.version_switching import LAST_SEND_BEFORE_END_S

# A request that has not begun on an old version is cancelled this long before the cutoff.
CANCEL_MARGIN_S: Final = 0.15
# A process that knows a new version, but not yet its cutoff, uses older versions for this
# long. Peers answer the query for the cutoff within 0.8 s, over a slow link within 1.5 s.
UNKNOWN_CUTOFF_MS: Final = 2000
# Smaller corrections of a cutoff aren't logged: the peers' answers differ by their delays.
MIN_LOGGED_CHANGE_S: Final = 0.1

log = logger(Component.PROXY)


def always_leads() -> bool:
    """
    The default for `leads`: the process gets no cutoffs from others.

    """
    return True


def always_current() -> bool:
    """
    The default for `is_current`: the view is up to date whenever it is read.

    """
    return True


def never_leads() -> bool:
    """
    The value of `leads` for a process that follows the replicas.

    """
    return False


def no_arrival_time(key: str, version: int) -> float | None:
    """
    The default for `arrived_at`: the process has no replicated log.

    """
    return None


class VersionTracker:
    """
    The named versions of all models, and until when requests may begin on older ones.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        switch_ms: float,
        cutoffs: VersionCutoffs | None = None,
        unknown_cutoff_ms: int = 0,
        leads: Callable[[], bool] = always_leads,
        is_current: Callable[[], bool] = always_current,
        arrived_at: Callable[[str, int], float | None] = no_arrival_time,
    ) -> None:
        self.env = env
        self.view = view
        self.switch_s = switch_ms / MS_PER_S
        # Cutoffs that other processes reported.
        self.cutoffs = cutoffs if cutoffs is not None else VersionCutoffs()
        self.unknown_cutoff_s = min(unknown_cutoff_ms, switch_ms) / MS_PER_S
        # Whether this process leads: the leader names versions and knows when it did.
        self.leads = leads
        # Whether the view is up to date, as far as this process knows.
        self.is_current = is_current
        # When the entry that named a version arrived in this process's log.
        self.arrived_at = arrived_at
        self.started = False
        # When this process learned of each version, by model. Versions that it found before
        # its view was up to date may be old, so they count as named infinitely long ago.
        self.learned: dict[str, dict[int, float]] = {}
        self.logged_ends: dict[tuple[str, int], float] = {}

    def refresh(self) -> None:
        """
        Record the versions that the configuration in force names.

        """
        now = self.env.monotonic()
        for key, value in self.view.values_with_prefix(VERSION_PREFIX).items():
            model = key.removeprefix(VERSION_PREFIX)
            version = decode_versioned(value).version
            learned = self.learned.setdefault(model, {})
            if version not in learned:
                learned[version] = self._named_at(key, version, now)
            self._log_ends(model)
        self.started = self.started or self.is_current()

    def _named_at(self, key: str, version: int, now: float) -> float:
        """
        When a version was named, as far as this process can tell: when its log entry arrived,
        which precedes the naming by at most the time to commit the entry; `now` if that time
        isn't known.

        """
        if not self.started:
            return float('-inf')
        arrived_at = self.arrived_at(key, version)
        return now if arrived_at is None else arrived_at

    def _log_ends(self, model: str) -> None:
        now = self.env.monotonic()
        for version, ends in self._end_times(model).items():
            before = self.logged_ends.get((model, version))
            if before is not None and (before == ends or abs(before - ends) < MIN_LOGGED_CHANGE_S):
                continue
            self.logged_ends[(model, version)] = ends
            log.info(
                'Version {}. model={} version={} due_s={:.1f}',
                'named' if before is None else 'end corrected',
                model,
                version,
                max(ends - now, 0) - LAST_SEND_BEFORE_END_S,
            )

    def _end_times(self, model: str) -> dict[int, float]:
        """
        The cutoff of each version of a model, oldest first: when requests may no longer begin
        on the versions before it.

        """
        learned = self.learned.get(model, {})
        return {
            version: self._end_time(model, version, learned.get(version, float('-inf')))
            for version in sorted({*learned, *self.cutoffs.known_versions(model)})
        }

    def _end_time(self, model: str, version: int, learned_at: float) -> float:
        reported = self.cutoffs.cutoff_of(model, version)
        if self.leads():
            own = learned_at + self.switch_s
            return own if reported is None else max(reported, own)
        return reported if reported is not None else learned_at + self.unknown_cutoff_s

    def switches(self) -> list[VersionSwitch]:
        """
        The recent versions whose cutoff this process knows, for processes that ask. The
        newest is included even when its cutoff has passed, as a process that was cut off
        doesn't know that.

        """
        now = self.env.monotonic()
        switches = []
        for model in self.learned:
            newest = self.newest(model)
            for version, ends in self._end_times(model).items():
                if not self.leads() and self.cutoffs.cutoff_of(model, version) is None:
                    continue
                if ends <= now and version != newest:
                    continue
                switches.append(VersionSwitch(model, version, int(max(ends - now, 0) * MS_PER_S)))
        return switches

    def oldest_usable(self, model: str) -> int:
        """
        The oldest version on which a request may begin now; 0 if all may be used.

        """
        now = self.env.monotonic()
        due = [
            version
            for version, ends in self._end_times(model).items()
            if ends - LAST_SEND_BEFORE_END_S <= now
        ]
        return max(due, default=0)

    def newest(self, model: str) -> int:
        """
        The newest version named; 0 if there is none.

        """
        return max(self._end_times(model), default=0)

    def newer_than(self, model: str, version: int) -> list[int]:
        """
        The versions named after `version`, oldest first.

        """
        return [newer for newer in self._end_times(model) if newer > version]

    def ends_at(self, model: str, version: int) -> float | None:
        """
        When requests that have not begun on `version` are cancelled (monotonic seconds);
        None if there is no newer version.

        """
        ends = [
            ends - CANCEL_MARGIN_S
            for newer, ends in self._end_times(model).items()
            if newer > version
        ]
        return min(ends, default=None)

    def upcoming_ends(self, model: str) -> tuple[tuple[int, float], ...]:
        """
        For each version whose cutoff is still to come, when requests that have not begun on
        an older version are cancelled (monotonic seconds).

        """
        now = self.env.monotonic()
        return tuple(
            (version, ends - CANCEL_MARGIN_S)
            for version, ends in self._end_times(model).items()
            if ends - CANCEL_MARGIN_S > now
        )
