"""
A table of records by key. Each change increases the version of the table, and each record keeps
the version of its last change.

"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

Record = TypeVar('Record')


class VersionedTable(Generic[Record]):
    """
    Records ordered by their last change, so that `changed_since` reads only the records that it
    returns.

    """

    def __init__(self) -> None:
        self.version = 0
        # By key: the record and the table version of its last change.
        self.rows: OrderedDict[str, tuple[Record, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.rows)

    def get(self, key: str) -> Record | None:
        row = self.rows.get(key)
        return row[0] if row is not None else None

    def put(self, key: str, record: Record) -> None:
        """
        Store a record and count that as a change, which `changed_since` reports.

        """
        self.version += 1
        self.rows[key] = (record, self.version)
        self.rows.move_to_end(key)

    def put_unannounced(self, key: str, record: Record) -> None:
        """
        Replace an existing record without counting that as a change: `changed_since` returns the
        new record only to readers that lack the old one.

        """
        self.rows[key] = (record, self.rows[key][1])

    def remove(self, key: str) -> None:
        """
        Remove the record of `key`, if there is one. A removal increases the version, but
        `changed_since` doesn't report removals.

        """
        if self.rows.pop(key, None) is not None:
            self.version += 1

    def values(self) -> Iterator[Record]:
        for record, _ in self.rows.values():
            yield record

    def changed_since(self, version: int) -> list[Record]:
        """
        Return the records changed after `version`, oldest change first.

        """
        found = []
        for record, changed_at in reversed(self.rows.values()):
            if changed_at <= version:
                break
            found.append(record)
        found.reverse()
        return found
