"""
Tracks on which versions of a model's weights requests may begin.

After a new version is set in the configuration, requests may begin on older versions until the
new version's cutoff, which follows after the time `version_ms` in the settings. From the cutoff
on, requests may begin only on the new version.

"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from millfork_core.clocks import LONG_AGO
from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, Revision
from millfork_core.logs import Component, logger
from millfork_registry.version_cutoffs import MS_PER_S, VersionCutoffs
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.version_switching import LAST_SEND_BEFORE_END_S

# A request that has not begun on an old version is cancelled this long before the cutoff.
CANCEL_MARGIN_S: Final = 0.15
# Corrections of a cutoff by less than this time aren't logged: cutoffs computed from the answers
# of peers differ by the delay of each answer.
MIN_LOGGED_CHANGE_S: Final = 0.1

log = logger(Component.PROXY)


class CutoffBasis(Enum):
    """
    What a cutoff was computed from: another process's answer, or this process's own knowledge of
    when the version was set. UNKNOWN: nothing tells when the version was set, so its cutoff counts
    as passed.

    """

    ANSWER = 'answer'
    OWN = 'own'
    UNKNOWN = 'unknown'


def always_leads() -> bool:
    """
    The default for `leads` of a `VersionTracker`: the process computes all cutoffs itself.

    """
    return True


def always_current() -> bool:
    """
    The default for `is_current` of a `VersionTracker`: the view is always up to date.

    """
    return True


def never_leads() -> bool:
    """
    The value for `leads` in a process that isn't a replica, and so never leads the replicas.

    """
    return False


def no_arrival_time(key: str, version: int) -> float | None:
    """
    The default for `arrived_at` of a `VersionTracker`: the process has no replicated log.

    """
    return None


def always_up_to_date(cluster: ClusterId, revision: Revision) -> float | None:
    """
    The default for `up_to_date_at` of a `VersionTracker`: the process learns of changes at once.

    """
    return None


class VersionTracker:
    """
    The versions set for each model, and the cutoffs from which requests may no longer begin on
    older versions. `switch_ms` is the time from when a version is set to its cutoff. A process that
    doesn't lead and has no answer about a cutoff uses the cutoff `unknown_cutoff_ms` after the time
    when the version was set, as far as it knows.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        switch_ms: float,
        cutoffs: VersionCutoffs | None = None,
        unknown_cutoff_ms: float = 0,
        leads: Callable[[], bool] = always_leads,
        is_current: Callable[[], bool] = always_current,
        arrived_at: Callable[[str, int], float | None] = no_arrival_time,
        up_to_date_at: Callable[[ClusterId, Revision], float | None] = always_up_to_date,
    ) -> None:
        self.env = env
        self.view = view
        self.switch_s = switch_ms / MS_PER_S
        # Cutoffs that other processes reported.
        self.cutoffs = cutoffs if cutoffs is not None else VersionCutoffs()
        self.unknown_cutoff_s = min(unknown_cutoff_ms, switch_ms) / MS_PER_S
        # Whether this process leads the replicas, and so knows when a version was set.
        self.leads = leads
        # Whether the view is up to date, as far as this process knows.
        self.is_current = is_current
        # Returns when the log entry that set a version arrived at this process, `LONG_AGO` if that
        # isn't known, and None if the process has no log.
        self.arrived_at = arrived_at
        # Returns the latest time at which no revision later than the given one had been
        # acknowledged, as far as this process knows; `LONG_AGO` if it knows none.
        self.up_to_date_at = up_to_date_at
        # The position of the view at the last refresh.
        self.position = view.position
        # Whether the view has ever been up to date.
        self.was_current = False
        # By model and version: when the version was set, as far as this process knows. The time may
        # be too early but not too late.
        self.learned: dict[str, dict[int, float]] = {}
        # By model and version: when this process found the version in the view.
        self.found_at: dict[tuple[str, int], float] = {}
        # By model and version: the cutoff that was logged last.
        self.logged_cutoffs: dict[tuple[str, int], float] = {}

    def refresh(self) -> None:
        """
        Record versions that are new in the configuration, and log new and corrected cutoffs.

        """
        now = self.env.monotonic()
        for key, value in self.view.values_with_prefix(VERSION_PREFIX).items():
            model = key.removeprefix(VERSION_PREFIX)
            version = decode_versioned(value).version
            learned = self.learned.setdefault(model, {})
            if version not in learned:
                learned[version] = self._set_at(key, version, now)
                self.found_at[(model, version)] = now
            self._log_cutoffs(model)
        self.position = self.view.position
        self.was_current = self.was_current or self.is_current()

    def _set_at(self, key: str, version: int, now: float) -> float:
        """
        Return when a version was set, as far as this process can tell: `LONG_AGO` if the view
        hasn't been up to date yet, else when the log entry that set the version arrived here. A log
        entry arrives before its commit, so the result may be early by at most the time that the
        commit takes. In a process without a log, the result is the last time at which no revision
        after the one at the last refresh had been acknowledged.

        """
        if not self.was_current:
            return LONG_AGO
        arrived_at = self.arrived_at(key, version)
        if arrived_at is not None:
            return arrived_at
        up_to_date_at = self.up_to_date_at(*self.position)
        return now if up_to_date_at is None else up_to_date_at

    def _log_cutoffs(self, model: str) -> None:
        now = self.env.monotonic()
        for version, cutoff in self._cutoff_times(model).items():
            logged = self.logged_cutoffs.get((model, version))
            if logged is not None and (
                logged == cutoff or abs(logged - cutoff) < MIN_LOGGED_CHANGE_S
            ):
                continue
            self.logged_cutoffs[(model, version)] = cutoff
            log.info(
                'Version {}. model={} version={} due_s={:.1f} basis={}',
                'named' if logged is None else 'end corrected',
                model,
                version,
                max(cutoff - now, 0) - LAST_SEND_BEFORE_END_S,
                self._basis(model, version, cutoff).value,
            )

    def _basis(self, model: str, version: int, cutoff: float) -> CutoffBasis:
        if cutoff == self.cutoffs.cutoff_of(model, version):
            return CutoffBasis.ANSWER
        return CutoffBasis.UNKNOWN if cutoff == LONG_AGO else CutoffBasis.OWN

    def _cutoff_times(self, model: str) -> dict[int, float]:
        """
        Return the cutoff of each version of a model, oldest version first: the time (monotonic
        seconds) from which requests may no longer begin on older versions.

        """
        learned = self.learned.get(model, {})
        return {
            version: self._cutoff_time(model, version, learned.get(version, LONG_AGO))
            for version in sorted({*learned, *self.cutoffs.known_versions(model)})
        }

    def _cutoff_time(self, model: str, version: int, learned_at: float) -> float:
        reported = self.cutoffs.cutoff_of(model, version)
        if self.leads():
            own = learned_at + self.switch_s
            return own if reported is None else max(reported, own)
        return reported if reported is not None else learned_at + self.unknown_cutoff_s

    def switches(self) -> list[VersionSwitch]:
        """
        Return, for processes that ask, the versions with a known cutoff that is still to come. A
        model's newest version is included even after its known cutoff, as a process that lost
        contact may not know this version. A version that may have been set recently is left out:
        a follower that was up to date before it was set knows its cutoff better.

        """
        now = self.env.monotonic()
        switches = []
        for model in self.learned:
            newest = self.newest(model)
            for version, cutoff in self._cutoff_times(model).items():
                if not self.leads() and self.cutoffs.cutoff_of(model, version) is None:
                    continue
                if cutoff <= now and version != newest:
                    continue
                if cutoff == LONG_AGO and now < self.found_at[(model, version)] + self.switch_s:
                    continue
                switches.append(VersionSwitch(model, version, int(max(cutoff - now, 0) * MS_PER_S)))
        return switches

    def oldest_usable(self, model: str) -> int:
        """
        Return the oldest version that a request may be sent to now; 0 if all may be used.

        """
        now = self.env.monotonic()
        due = [
            version
            for version, cutoff in self._cutoff_times(model).items()
            if cutoff - LAST_SEND_BEFORE_END_S <= now
        ]
        return max(due, default=0)

    def newest(self, model: str) -> int:
        """
        Return the newest known version of a model; 0 if there is none.

        """
        return max(self._cutoff_times(model), default=0)

    def newer_than(self, model: str, version: int) -> list[int]:
        """
        Return the known versions that are newer than `version`, oldest first.

        """
        return [newer for newer in self._cutoff_times(model) if newer > version]

    def ends_at(self, model: str, version: int) -> float | None:
        """
        Return when requests that were sent to `version` but have not begun on it are cancelled
        (monotonic seconds): shortly before the first cutoff of a newer version. None if there is
        no newer version.

        """
        cancel_times = [
            cutoff - CANCEL_MARGIN_S
            for newer, cutoff in self._cutoff_times(model).items()
            if newer > version
        ]
        return min(cancel_times, default=None)

    def upcoming_ends(self, model: str) -> tuple[tuple[int, float], ...]:
        """
        Return pairs of a new version and the time (monotonic seconds) at which requests that have
        not begun on versions older than the new one are cancelled. Past times are left out.

        """
        now = self.env.monotonic()
        return tuple(
            (version, cutoff - CANCEL_MARGIN_S)
            for version, cutoff in self._cutoff_times(model).items()
            if cutoff - CANCEL_MARGIN_S > now
        )
