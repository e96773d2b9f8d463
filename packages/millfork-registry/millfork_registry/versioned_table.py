"""
A table of records by key, each with the table version of its last change.

"""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

Record = TypeVar('Record')


class VersionedTable(Generic[Record]):
    """
    Records ordered by their last change, so that finding the records changed
    since a version reads only those.

    """

    def __init__(self) -> None:
        self.version = 0
        self.rows: OrderedDict[str, tuple[Record, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.rows)

    def get(self, key: str) -> Record | None:
        row = self.rows.get(key)
        return row[0] if row is not None else None

    def put(self, key: str, record: Record) -> None:
        """
        Set a record as a new change, which `changed_since` reports.

        """
        self.version += 1
        self.rows[key] = (record, self.version)
        self.rows.move_to_end(key)

    def put_unannounced(self, key: str, record: Record) -> None:
        """
        Replace a record without counting a change, so others aren't sent it.

        """
        self.rows[key] = (record, self.rows[key][1])

    def remove(self, key: str) -> None:
        """
        Remove a record. This increases the version, but `changed_since` doesn't report it.

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
        for record, changed in reversed(self.rows.values()):
            if changed <= version:
                break
            found.append(record)
        found.reverse()
        return found
