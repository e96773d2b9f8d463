"""
The configuration that is in force in one process.

"""

from collections import deque
from dataclasses import dataclass
from typing import Final

import curio

from millfork_core.ids import ClusterId, Revision
from millfork_wire.messages import Item, Update

# The most revisions kept in the history. A subscriber that lags behind by more revisions gets the
# whole configuration instead of a delta.
MAX_HISTORY_REVISIONS: Final = 1024


@dataclass(frozen=True, slots=True)
class StoredValue:
    """
    A value and the revision that set it.

    """

    value: bytes
    revision: Revision


class View:
    """
    Values by key at one revision. The revision never decreases.

    """

    def __init__(self) -> None:
        self.cluster = ClusterId('')
        self.revision = Revision(0)
        self.items: dict[str, StoredValue] = {}
        # The latest revisions, each with the keys that it set or removed.
        self.history: deque[tuple[int, tuple[str, ...]]] = deque(maxlen=MAX_HISTORY_REVISIONS)
        self.changed = curio.Condition()

    def apply_change(
        self, revision: Revision, items: dict[str, StoredValue], removed: list[str]
    ) -> None:
        """
        Apply the change that created `revision`, and record its keys in the history.

        """
        self.items.update(items)
        for key in removed:
            self.items.pop(key, None)
        self.revision = revision
        self.history.append((revision, (*items, *removed)))

    def replace(
        self, cluster: ClusterId, revision: Revision, items: dict[str, StoredValue]
    ) -> None:
        """
        Replace the whole configuration and clear the history.

        """
        self.cluster = cluster
        self.items = items
        self.revision = revision
        self.history.clear()

    async def notify_waiters(self) -> None:
        """
        Wake all tasks that wait for a change.

        """
        async with self.changed:
            await self.changed.notify_all()

    @property
    def position(self) -> tuple[ClusterId, Revision]:
        """
        The cluster and the revision in force.

        """
        return self.cluster, self.revision

    async def wait_for_change(self, position: tuple[ClusterId, Revision], timeout: float) -> bool:
        """
        Wait until the view is no longer at `position`. False if it is still there after `timeout`
        seconds.

        """
        try:
            async with curio.timeout_after(timeout), self.changed:
                while self.position == position:
                    await self.changed.wait()
        except curio.TaskTimeout:
            return False
        return True

    def values_with_prefix(self, prefix: str) -> dict[str, bytes]:
        return {key: stored.value for key, stored in self.items.items() if key.startswith(prefix)}

    def update_since(self, cluster: str, revision: int) -> Update:
        """
        The update for a subscriber at a `cluster` and `revision`: a delta if the cluster is this
        view's, the revision isn't newer than this view's, and the history holds all later
        revisions; otherwise the whole configuration.

        """
        full = cluster != self.cluster or revision > self.revision
        if not full and revision < self.revision:
            full = not self.history or self.history[0][0] > revision + 1
        if full:
            items = [Item(key, stored.value, stored.revision) for key, stored in self.items.items()]
            return Update(self.cluster, 0, self.revision, True, items)
        keys = {
            key
            for history_revision, changed in self.history
            if history_revision > revision
            for key in changed
        }
        items = [
            Item(key, self.items[key].value, self.items[key].revision)
            for key in keys
            if key in self.items
        ]
        removed = [key for key in keys if key not in self.items]
        return Update(self.cluster, Revision(revision), self.revision, False, items, removed)

    def update_without_changes(self) -> Update:
        """
        An update that only tells the revision of this view. A subscriber at an earlier revision
        does not apply it.

        """
        return Update(self.cluster, self.revision, self.revision)

    def apply_update(self, update: Update) -> bool:
        """
        Apply an update from the upstream.

        Returns False, without any change, if the update is of another cluster, not newer than
        the view, or a delta that starts after the view's revision or comes before any full update.

        """
        if self.cluster and update.cluster != self.cluster:
            return False
        if self.cluster and update.revision <= self.revision:
            return False
        items = {
            item.key: StoredValue(item.value, Revision(item.revision)) for item in update.items
        }
        if update.full:
            self.replace(ClusterId(update.cluster), Revision(update.revision), items)
            return True
        if not self.cluster or update.from_revision > self.revision:
            return False
        self.apply_change(Revision(update.revision), items, update.removed)
        return True
