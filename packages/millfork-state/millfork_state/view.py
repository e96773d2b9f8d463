"""
The configuration as one process has it in force.

"""

from collections import deque
from dataclasses import dataclass
from typing import Final

import curio

from millfork_core.ids import ClusterId, Revision
from millfork_wire.messages import Item, Update

HISTORY: Final = 1024


@dataclass(frozen=True, slots=True)
class Held:
    """
    A value and the revision that set it.

    """

    value: bytes
    revision: Revision


class View:
    """
    Items by key at one revision, which only grows.

    """

    def __init__(self) -> None:
        self.cluster = ClusterId('')
        self.revision = Revision(0)
        self.items: dict[str, Held] = {}
        self.history: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=HISTORY)
        self.changed = curio.Condition()

    def change(self, revision: Revision, items: dict[str, Held], removed: list[str]) -> None:
        """
        Take the change that made `revision`.

        """
        self.items.update(items)
        for key in removed:
            self.items.pop(key, None)
        self.revision = revision
        self.history.append((revision, (*items, *removed)))

    def replace(self, cluster: ClusterId, revision: Revision, items: dict[str, Held]) -> None:
        """
        Take a whole configuration.

        """
        self.cluster = cluster
        self.items = items
        self.revision = revision
        self.history.clear()

    async def announce(self) -> None:
        """
        Wake everyone who waits for a change.

        """
        async with self.changed:
            await self.changed.notify_all()

    @property
    def mark(self) -> tuple[ClusterId, Revision]:
        """
        What is in force: the cluster and its revision.

        """
        return self.cluster, self.revision

    async def wait_beyond(self, mark: tuple[ClusterId, Revision], timeout: float) -> bool:
        """
        Wait until something newer is in force, `timeout` seconds at most.

        """
        try:
            async with curio.timeout_after(timeout), self.changed:
                while self.mark == mark:
                    await self.changed.wait()
        except curio.TaskTimeout:
            return False
        return True

    def prefixed(self, prefix: str) -> dict[str, bytes]:
        return {key: held.value for key, held in self.items.items() if key.startswith(prefix)}

    def update_since(self, cluster: str, revision: int) -> Update:
        """
        What a subscriber at `revision` lacks: a delta where the history
        reaches back that far, else everything.

        """
        full = cluster != self.cluster or revision > self.revision
        if not full and revision < self.revision:
            full = not self.history or self.history[0][0] > revision + 1
        if full:
            items = [Item(key, held.value, held.revision) for key, held in self.items.items()]
            return Update(self.cluster, 0, self.revision, True, items)
        keys = {key for made, changed in self.history if made > revision for key in changed}
        items = [
            Item(key, self.items[key].value, self.items[key].revision)
            for key in keys
            if key in self.items
        ]
        removed = [key for key in keys if key not in self.items]
        return Update(self.cluster, Revision(revision), self.revision, False, items, removed)

    def take(self, update: Update) -> bool:
        """
        Take an update from upstream; False if it is not a step forward.

        """
        if self.cluster and update.cluster != self.cluster:
            return False
        if self.cluster and update.revision <= self.revision:
            return False
        items = {item.key: Held(item.value, Revision(item.revision)) for item in update.items}
        if update.full:
            self.replace(ClusterId(update.cluster), Revision(update.revision), items)
            return True
        if not self.cluster or update.from_revision > self.revision:
            return False
        self.change(Revision(update.revision), items, update.removed)
        return True
