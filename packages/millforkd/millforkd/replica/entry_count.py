"""
Keeps the greatest recent number of entries on the disk of a replica.

Entries divide the limits that they share by this number. After a loss of power of all processes,
the replicas first know only the few entries that follow them again; if these divided the limits by
the number of those, all together would exceed the limits.

"""

from pathlib import Path
from typing import Final

import curio

from millfork_core.logs import Component, logger
from millfork_registry.followers import Followers
from millfork_state.storage import CorruptStorage, read_file, write_file

FILE_NAME: Final = 'entry-count'
CHECK_PERIOD_S: Final = 0.5
# For this long after its start, a replica also counts the entries that other replicas remember, as
# its own disk may be lost. Later it does not, so that the number can decrease.
LEARNING_S: Final = 10.0

log = logger(Component.REGISTRY)


class EntryCountFile:
    """
    The file with the greatest recent number of entries.

    """

    def __init__(self, folder: Path, followers: Followers) -> None:
        self.path = folder / FILE_NAME
        self.followers = followers
        self.stored = 0
        self.started_at = followers.env.monotonic()

    def load(self) -> None:
        """
        Count the entries that were stored before the start. A file that can't be read counts as
        missing.

        """
        try:
            body = read_file(self.path)
            self.stored = max(int(body), 0) if body else 0
        except (CorruptStorage, OSError, ValueError) as error:
            log.warning('The stored number of entries cannot be read: {}.', error)
            return
        if self.stored:
            self.followers.peak_entries.add(self.stored, self.started_at)
            log.info('Entries before the start: {}.', self.stored)

    def learn(self, remembered: int) -> None:
        """
        Count the entries that another replica remembers, if this replica has just started.

        """
        now = self.followers.env.monotonic()
        if now - self.started_at < LEARNING_S:
            self.followers.peak_entries.add(remembered, now)

    async def run(self) -> None:
        """
        Task that stores each change of the number.

        """
        while True:
            await curio.sleep(CHECK_PERIOD_S)
            count = self.followers.count_entries()
            if count == self.stored:
                continue
            try:
                await curio.run_in_thread(write_file, self.path, str(count).encode())
                self.stored = count
            except OSError as error:
                log.warning('The number of entries cannot be stored: {}.', error)
