"""
Rate limits for weight transfers, which share the instance's network link with live requests.

"""

from collections.abc import Callable
from typing import Final

import curio

# Seconds by which `RateLimiter.acquire` returns before the transfer would be finished at `rate`.
BURST_S: Final = 0.005


class RateLimiter:
    """
    Limits transfers to `rate` bytes/s. Transfers proceed in the order in which they call `acquire`.

    """

    def __init__(self, rate: float, monotonic: Callable[[], float]) -> None:
        self.rate = rate
        self.monotonic = monotonic
        self.free_at = 0.0

    @property
    def backlog_s(self) -> float:
        """
        Seconds until all bytes counted so far would be transferred at `rate`.

        """
        return max(self.free_at - self.monotonic(), 0.0)

    def record_bytes(self, size: int) -> None:
        """
        Count `size` bytes against the limit, after a transfer that did not call `acquire`.

        """
        self.free_at = max(self.free_at, self.monotonic()) + size / self.rate

    async def acquire(self, size: int) -> None:
        """
        Count `size` bytes against the limit, then wait until `BURST_S` before the time at which
        these and all earlier bytes would be transferred at `rate`.

        """
        starts_at = max(self.free_at, self.monotonic())
        self.free_at = starts_at + size / self.rate
        wait = self.free_at - self.monotonic() - BURST_S
        if wait > 0:
            await curio.sleep(wait)


class Link:
    """
    The share of an instance's network link that weight transfers may use. With
    `both_directions_together`, received and sent bytes count against one common limit.

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
