"""
Which version of a model's weights a request may begin on.

A new version is named at one moment and must be everywhere a while later;
until then either will do, from then on only the new one.

"""

from collections.abc import Callable
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.version_cutoffs import MS_PER_S, VersionCutoffs
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.version_switching import LAST_SEND_BEFORE_END_S

# A request that has not begun on the old version is taken back this long
# before it no longer may.
CUT_S: Final = 0.15
# A process that heard of a version, but not yet when it was named, goes on with the one
# before it for so long: an answer comes within 0.8 s, over a squeezed link within 1.5 s.
UNTOLD_MS: Final = 2000
# A correction of an end is logged from here on; answers differ by the time they take.
LOGGED_S: Final = 0.1

log = logger(Part.PROXY)


def always_leads() -> bool:
    """
    The case of a process that is told of versions by nobody.

    """
    return True


def always_current() -> bool:
    """
    The case of a process whose view is never behind when it is read.

    """
    return True


def never_leads() -> bool:
    """
    The case of a follower.

    """
    return False


def never_arrived(key: str, version: int) -> float | None:
    """
    The case of a process that keeps no log.

    """
    return None


class Versions:
    """
    The versions named, as this process learned of them.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        switch_ms: float,
        told: VersionCutoffs | None = None,
        untold_ms: int = 0,
        leads: Callable[[], bool] = always_leads,
        is_current: Callable[[], bool] = always_current,
        arrived: Callable[[str, int], float | None] = never_arrived,
    ) -> None:
        self.env = env
        self.view = view
        self.switch_s = switch_ms / MS_PER_S
        # What others answered.
        self.told = told if told is not None else VersionCutoffs()
        self.untold_s = min(untold_ms, switch_ms) / MS_PER_S
        # Whether this process names versions itself, and so knows when that was.
        self.leads = leads
        # Whether the view is up to date, as far as this process knows.
        self.is_current = is_current
        # When the entry that named a version came into this process's log.
        self.arrived = arrived
        self.started = False
        # When this process learned of each version, by model; what it heard of before its
        # view was up to date was named nobody here knows when, and is taken for long ago.
        self.learned: dict[str, dict[int, float]] = {}
        self.logged: dict[tuple[str, int], float] = {}

    def refresh(self) -> None:
        """
        Take what the configuration in force names.

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
        When a version was named, as far as this process can tell; never earlier than that by
        more than the time to commit it.

        """
        if not self.started:
            return float('-inf')
        arrived = self.arrived(key, version)
        return now if arrived is None else arrived

    def _log_ends(self, model: str) -> None:
        now = self.env.monotonic()
        for version, ends in self._ends(model).items():
            before = self.logged.get((model, version))
            if before is not None and (before == ends or abs(before - ends) < LOGGED_S):
                continue
            self.logged[(model, version)] = ends
            log.info(
                'Version {}. model={} version={} due_s={:.1f}',
                'named' if before is None else 'end corrected',
                model,
                version,
                max(ends - now, 0) - LAST_SEND_BEFORE_END_S,
            )

    def _ends(self, model: str) -> dict[int, float]:
        """
        For each version of a model, oldest first, when requests may no longer begin on
        what came before it.

        """
        learned = self.learned.get(model, {})
        return {
            version: self._end(model, version, learned.get(version, float('-inf')))
            for version in sorted({*learned, *self.told.known_versions(model)})
        }

    def _end(self, model: str, version: int, learned_at: float) -> float:
        told = self.told.cutoff_of(model, version)
        if self.leads():
            own = learned_at + self.switch_s
            return own if told is None else max(told, own)
        return told if told is not None else learned_at + self.untold_s

    def switches(self) -> list[VersionSwitch]:
        """
        The versions named lately, for processes that ask: those of which this one was
        told, or which it named itself. The newest is among them also when all before it
        has ended, as one that was away doesn't know that.

        """
        now = self.env.monotonic()
        found = []
        for model in self.learned:
            newest = self.newest(model)
            for version, ends in self._ends(model).items():
                if not self.leads() and self.told.cutoff_of(model, version) is None:
                    continue
                if ends <= now and version != newest:
                    continue
                found.append(VersionSwitch(model, version, int(max(ends - now, 0) * MS_PER_S)))
        return found

    def least(self, model: str) -> int:
        """
        The oldest version on which a request may begin now.

        """
        now = self.env.monotonic()
        due = [
            version
            for version, ends in self._ends(model).items()
            if ends - LAST_SEND_BEFORE_END_S <= now
        ]
        return max(due, default=0)

    def newest(self, model: str) -> int:
        """
        The newest version named.

        """
        return max(self._ends(model), default=0)

    def newer_than(self, model: str, version: int) -> list[int]:
        """
        The versions named after one, oldest first.

        """
        return [newer for newer in self._ends(model) if newer > version]

    def ends_at(self, model: str, version: int) -> float | None:
        """
        When requests may no longer begin on a version; None: never.

        """
        ends = [ends - CUT_S for newer, ends in self._ends(model).items() if newer > version]
        return min(ends, default=None)

    def endings(self, model: str) -> tuple[tuple[int, float], ...]:
        """
        For each version named, when requests may no longer begin on an older
        one, as far as that is to come.

        """
        now = self.env.monotonic()
        return tuple(
            (version, ends - CUT_S)
            for version, ends in self._ends(model).items()
            if ends - CUT_S > now
        )
