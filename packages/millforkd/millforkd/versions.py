"""
Which version of a model's weights a request may begin on.

A new version is named at one moment and must be everywhere a while later;
until then either will do, from then on only the new one.

"""

from dataclasses import dataclass
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_registry.switch_ends import MS_PER_S, SwitchEnds
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.switching import LAST_SENT_S

# A request that has not begun on the old version is taken back this long
# before it no longer may.
CUT_S: Final = 0.15
# A correction of an end is logged from here on; answers differ by the time they take.
LOGGED_S: Final = 0.1

log = logger(Part.PROXY)


@dataclass(frozen=True, slots=True)
class _Estimate:
    """
    When requests may no longer begin on what came before a version, as this process takes
    it by itself; where it is not certain, the first answer of a replica replaces it.

    """

    ends: float
    certain: bool


class Versions:
    """
    The versions named, as this process learned of them.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        switch_ms: int,
        told: SwitchEnds | None = None,
        first_hand: bool = True,
    ) -> None:
        self.env = env
        self.view = view
        self.switch_s = switch_ms / MS_PER_S
        # What replicas answered.
        self.told = told if told is not None else SwitchEnds()
        # Whether names reach this process from the log, and not by way of a replica.
        self.first_hand = first_hand
        self.started = False
        self.estimates: dict[str, dict[int, _Estimate]] = {}
        self.logged: dict[tuple[str, int], float] = {}

    def refresh(self) -> None:
        """
        Take what the configuration in force names.

        """
        for key, held in self.view.items.items():
            if not key.startswith(VERSION_PREFIX):
                continue
            model = key.removeprefix(VERSION_PREFIX)
            version = decode_versioned(held.value).version
            estimates = self.estimates.setdefault(model, {})
            if version not in estimates:
                estimates[version] = self._estimate(held.revision)
            self._log_ends(model)
        self.started = True

    def _estimate(self, revision: int) -> _Estimate:
        now = self.env.monotonic()
        if self.first_hand:
            # What stood at the start was named nobody here knows when.
            return _Estimate(now + self.switch_s if self.started else now, self.started)
        asked_at = self.told.asked_at
        if asked_at is None or self.told.covers(revision):
            # A replica that knew of it did not count it among those named lately.
            return _Estimate(now, False)
        # It was named after the last question whose answer did not cover it.
        return _Estimate(asked_at + self.switch_s, False)

    def _log_ends(self, model: str) -> None:
        now = self.env.monotonic()
        for version, ends in self._ends(model).items():
            before = self.logged.get((model, version))
            if before is not None and abs(before - ends) < LOGGED_S:
                continue
            self.logged[(model, version)] = ends
            log.info(
                'Version {}. model={} version={} due_s={:.1f}',
                'named' if before is None else 'end corrected',
                model,
                version,
                ends - LAST_SENT_S - now,
            )

    def _ends(self, model: str) -> dict[int, float]:
        """
        For each version of a model, oldest first, when requests may no longer begin on
        what came before it.

        """
        estimates = self.estimates.get(model, {})
        return {
            version: self._end(model, version, estimates.get(version))
            for version in sorted({*estimates, *self.told.versions(model)})
        }

    def _end(self, model: str, version: int, estimate: _Estimate | None) -> float:
        told = self.told.at(model, version)
        if estimate is None:
            return told if told is not None else float('inf')
        if told is None:
            return estimate.ends
        return min(told, estimate.ends) if estimate.certain else told

    def switches(self) -> list[VersionSwitch]:
        """
        The versions named lately, for processes that hear of them later.

        """
        now = self.env.monotonic()
        return [
            VersionSwitch(model, version, int((ends - now) * MS_PER_S))
            for model in self.estimates
            for version, ends in self._ends(model).items()
            if ends > now
        ]

    def least(self, model: str) -> int:
        """
        The oldest version on which a request may begin now.

        """
        now = self.env.monotonic()
        due = [version for version, ends in self._ends(model).items() if ends - LAST_SENT_S <= now]
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
