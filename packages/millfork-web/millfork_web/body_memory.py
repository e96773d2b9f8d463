"""
The limit for the memory that the bodies of requests in progress hold together.

Each body has a limit of its own (`Server.max_body`), but many callers who send large bodies at the
same time, or slowly, would fill the memory of a daemon together.

"""

from dataclasses import dataclass, field
from typing import Any, Final

# The smallest entries have 150 MB and use half of it; callers who read slowly may use 16 MiB.
MAX_TOTAL_BODY_BYTES: Final = 32 * 1024 * 1024


class NoBodyMemory(Exception):
    """
    The bodies of the requests in progress leave no room for more bytes.

    """


@dataclass(slots=True)
class BodyMemory:
    """
    The bytes of request bodies that a server holds, in total and by connection.

    """

    total: int = 0
    held: dict[Any, int] = field(default_factory=dict)

    def hold(self, connection: Any, size: int) -> None:
        """
        Count `size` more bytes for the request of a connection. A request that is alone has room
        for any size, so that a limit of a single body above the total has an effect.

        :raises NoBodyMemory: if there is no room for the bytes.

        """
        own = self.held.get(connection, 0)
        if self.total > own and self.total + size > MAX_TOTAL_BODY_BYTES:
            raise NoBodyMemory
        self.held[connection] = own + size
        self.total += size

    def release(self, connection: Any) -> None:
        self.total -= self.held.pop(connection, 0)
