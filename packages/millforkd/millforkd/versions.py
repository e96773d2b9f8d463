"""
Which version of a model's weights a request may begin on.

A new version is named at one moment and must be everywhere a while later;
until then either will do, from then on only the new one.

"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from millfork_core.environment import Environment
from millfork_core.logs import Part, logger
from millfork_state.commands import decode_versioned
from millfork_state.keys import VERSION_PREFIX
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.switching import LAST_SENT_S

# A request that has not begun on the old version is taken back this long
# before it no longer may.
CUT_S: Final = 0.15
NOT_TOLD: Final[Mapping[tuple[str, int], float]] = MappingProxyType({})

log = logger(Part.PROXY)


@dataclass(slots=True)
class _Named:
    version: int
    # No request is sent to an older version from here on, and none may begin
    # on one after `ends`.
    due: float
    ends: float


class Versions:
    """
    The versions named, as this process learned of them.

    """

    def __init__(
        self,
        env: Environment,
        view: View,
        switch_ms: int,
        switch_ends: Mapping[tuple[str, int], float] = NOT_TOLD,
    ) -> None:
        self.env = env
        self.view = view
        self.switch_s = switch_ms / 1000
        # What the replica said of versions that were named before this process knew.
        self.switch_ends = switch_ends
        self.named: dict[str, list[_Named]] = {}
        self.first = True

    def refresh(self) -> None:
        """
        Take what the configuration in force names.

        """
        now = self.env.monotonic()
        for key, value in self.view.prefixed(VERSION_PREFIX).items():
            model = key.removeprefix(VERSION_PREFIX)
            version = decode_versioned(value).version
            named = self.named.setdefault(model, [])
            if named and named[-1].version >= version:
                continue
            ends = self._switch_end(model, version, now)
            due = max(ends - LAST_SENT_S, now)
            named.append(_Named(version, due, ends - CUT_S))
            log.info('Version named. model={} version={} due_s={:.1f}', model, version, due - now)
        self.first = False

    def _switch_end(self, model: str, version: int, now: float) -> float:
        """
        When requests may no longer begin on what came before a version. What stood at
        this process's start, and of which the replica says nothing, was named long ago.

        """
        ends = now if self.first else now + self.switch_s
        told = self.switch_ends.get((model, version))
        if told is None:
            return ends
        return told if self.first else min(told, ends)

    def switches(self) -> list[VersionSwitch]:
        """
        The versions named lately, for processes that hear of them later.

        """
        now = self.env.monotonic()
        return [
            VersionSwitch(model, item.version, int((item.ends + CUT_S - now) * 1000))
            for model, named in self.named.items()
            for item in named
            if item.ends + CUT_S > now
        ]

    def least(self, model: str) -> int:
        """
        The oldest version on which a request may begin now.

        """
        now = self.env.monotonic()
        due = [named.version for named in self.named.get(model, ()) if named.due <= now]
        return max(due, default=0)

    def newest(self, model: str) -> int:
        """
        The newest version named.

        """
        named = self.named.get(model)
        return named[-1].version if named else 0

    def newer_than(self, model: str, version: int) -> list[int]:
        """
        The versions named after one, oldest first.

        """
        return [named.version for named in self.named.get(model, ()) if named.version > version]

    def ends_at(self, model: str, version: int) -> float | None:
        """
        When requests may no longer begin on a version; None: never.

        """
        newer = [named.ends for named in self.named.get(model, ()) if named.version > version]
        return min(newer, default=None)

    def endings(self, model: str) -> tuple[tuple[int, float], ...]:
        """
        For each version named, when requests may no longer begin on an older
        one, as far as that is to come.

        """
        now = self.env.monotonic()
        return tuple(
            (named.version, named.ends) for named in self.named.get(model, ()) if named.ends > now
        )
