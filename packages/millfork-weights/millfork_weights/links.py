"""
The instance's network link, shared between transfers and live requests.

"""

from collections.abc import Callable
from typing import Final

import curio

BURST_S: Final = 0.005


class RateLimiter:
    """
    Lets bytes through at a rate (bytes/s), in the order they came.

    """

    def __init__(self, rate: float, monotonic: Callable[[], float]) -> None:
        self.rate = rate
        self.monotonic = monotonic
        self.free_at = 0.0

    @property
    def backlog_s(self) -> float:
        """
        Seconds until the bytes already let in are through.

        """
        return max(self.free_at - self.monotonic(), 0.0)

    def record_bytes(self, size: int) -> None:
        """
        Count bytes that passed without asking.

        """
        self.free_at = max(self.free_at, self.monotonic()) + size / self.rate

    async def acquire(self, size: int) -> None:
        """
        Wait until `size` bytes may pass.

        """
        starts_at = max(self.free_at, self.monotonic())
        self.free_at = starts_at + size / self.rate
        wait = self.free_at - self.monotonic() - BURST_S
        if wait > 0:
            await curio.sleep(wait)


class Link:
    """
    The part of an instance's link that weight transfers may use.

    """

    def __init__(
        self,
        bytes_per_s: int,
        transfer_share: float,
        both_directions_together: bool,
        monotonic: Callable[[], float],
    ) -> None:
        rate = bytes_per_s * transfer_share
        self.inbound = RateLimiter(rate, monotonic)
        self.outbound = self.inbound if both_directions_together else RateLimiter(rate, monotonic)
        self.rate = rate
