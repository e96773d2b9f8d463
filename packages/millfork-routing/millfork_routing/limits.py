"""
Fair sharing of slots between organisations, and caps on requests in progress.

"""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Final

import curio

from millfork_core.ids import OrganisationId

# Weight of the latest request in the mean service time (an exponential moving average).
SERVICE_TIME_WEIGHT: Final = 0.1
# The mean service time that is assumed before the first request has ended.
FIRST_SERVICE_TIME_S: Final = 0.2
# A refused caller is asked to wait at least this long.
MIN_RETRY_AFTER_MS: Final = 100
# If the virtual times of more organisations than this are known when an organisation gets a new
# queue, those of organisations without queued requests are dropped.
MAX_ORGANISATIONS_REMEMBERED: Final = 10_000


@dataclass(slots=True)
class Waiter:
    """
    A request in a `FairQueue`: `granted` is set once the request has a slot, and `until` is when
    its task stops waiting for one (monotonic seconds).

    """

    organisation: OrganisationId
    until: float
    granted: curio.Event = field(default_factory=curio.Event)
    has_slot: bool = False


class FairQueue:
    """
    The slots of one back end, shared between organisations by start-time fair queueing.

    Each organisation has its own queue and a virtual time, which advances by 1 / share with each
    slot that it gets. The organisation with the lowest virtual time is served next. So a flood of
    requests delays only the organisation that sends them, and an organisation that was idle is
    served next.

    """

    def __init__(
        self,
        slots: int,
        max_waiting: int,
        share: Callable[[OrganisationId], int],
        monotonic: Callable[[], float],
    ) -> None:
        self.slots = slots
        self.max_waiting = max_waiting
        self.share = share
        self.monotonic = monotonic
        self.running = 0
        self.waiting = 0
        self.queues: OrderedDict[OrganisationId, deque[Waiter]] = OrderedDict()
        # Fractions, since rounding errors would let one organisation overtake another.
        self.virtual_times: dict[OrganisationId, Fraction] = {}
        # The virtual time at which the last slot was granted.
        self.virtual_now = Fraction(0)
        self.service_time_s = FIRST_SERVICE_TIME_S

    def expected_wait_s(self, organisation: OrganisationId) -> float:
        """
        The expected time until a new request of this organisation gets a slot, in seconds.

        """
        if self.running < self.slots:
            return 0.0
        queued = len(self.queues.get(organisation, ())) + 1
        shares = sum(self.share(name) for name in self.queues if name != organisation)
        own_share = self.share(organisation)
        ahead = queued * (1 + shares / own_share)
        ahead = min(ahead, self.waiting + 1)
        return ahead * self.service_time_s / self.slots

    def refusal_wait_ms(self, organisation: OrganisationId, max_wait_s: float) -> int:
        """
        0 if a request of this organisation may join the queue, else how long its caller should
        wait before it retries, in ms.

        """
        wait_s = self.expected_wait_s(organisation)
        queued = len(self.queues.get(organisation, ()))
        if wait_s <= max_wait_s and queued < self._queue_capacity(organisation):
            return 0
        return max(int(wait_s * 1000), MIN_RETRY_AFTER_MS)

    def _queue_capacity(self, organisation: OrganisationId) -> int:
        """
        The maximum number of queued requests of one organisation: its share of `max_waiting`
        among the organisations in the queue, at least 1. While a slot is free, it is
        `slots + max_waiting`.

        """
        if self.running < self.slots:
            return self.slots + self.max_waiting
        shares = sum(self.share(name) for name in self.queues if name != organisation)
        own_share = self.share(organisation)
        return max(self.max_waiting * own_share // (shares + own_share), 1)

    async def join(self, organisation: OrganisationId, until: float) -> Waiter:
        """
        Add a request to the queue; `granted` of the returned waiter is set once it has a slot.

        """
        waiter = Waiter(organisation, until)
        if organisation not in self.queues:
            self._add_queue(organisation)
        self.queues[organisation].append(waiter)
        self.waiting += 1
        await self._grant()
        return waiter

    async def leave(self, waiter: Waiter) -> None:
        """
        Release the slot of a request, or remove a request without a slot from its queue.

        """
        if waiter.has_slot:
            waiter.has_slot = False
            self.running -= 1
            await self._grant()
            return
        queue = self.queues.get(waiter.organisation)
        if queue is not None and waiter in queue:
            queue.remove(waiter)
            self.waiting -= 1
            if not queue:
                del self.queues[waiter.organisation]

    def learn_service_time(self, seconds: float) -> None:
        """
        Add the seconds that one request took on the back end to the mean service time.

        """
        self.service_time_s += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s)

    async def _grant(self) -> None:
        while self.running < self.slots and self.queues:
            organisation = min(self.queues, key=lambda name: self.virtual_times[name])
            waiter = self._next(organisation)
            if waiter is None:
                continue
            self.virtual_now = self.virtual_times[organisation]
            self.virtual_times[organisation] += Fraction(1, self.share(organisation))
            waiter.has_slot = True
            self.running += 1
            await waiter.granted.set()

    def _next(self, organisation: OrganisationId) -> Waiter | None:
        """
        Remove the organisation's next waiter; return it, or None if it has timed out.

        The organisation is moved to the end of `queues`. So among organisations with the same
        virtual time, the one that was served longest ago is served first.

        """
        queue = self.queues[organisation]
        waiter = queue.popleft()
        self.waiting -= 1
        self.queues.move_to_end(organisation)
        if not queue:
            del self.queues[organisation]
        if waiter.until < self.monotonic():
            # The task of this waiter ends by its own timeout, so a slot would be wasted on it.
            return None
        return waiter

    def _add_queue(self, organisation: OrganisationId) -> None:
        """
        Add a queue for an organisation that has none. The organisation starts at the current
        virtual time or later, so it gets no credit for slots that it left unused while idle.

        """
        if len(self.virtual_times) > MAX_ORGANISATIONS_REMEMBERED:
            self.virtual_times = {name: self.virtual_times[name] for name in self.queues}
        self.virtual_times[organisation] = max(
            self.virtual_times.get(organisation, self.virtual_now), self.virtual_now
        )
        self.queues[organisation] = deque()


class InFlightCounter:
    """
    Counts one entry's requests in progress by organisation; each may have at most `ceiling`.

    """

    def __init__(self, ceiling: int) -> None:
        self.ceiling = ceiling
        self.counts: dict[OrganisationId, int] = {}

    def try_acquire(self, organisation: OrganisationId) -> bool:
        """
        Count a new request; returns False if the organisation is at its ceiling.

        """
        count = self.counts.get(organisation, 0)
        if count >= self.ceiling:
            return False
        self.counts[organisation] = count + 1
        return True

    def release(self, organisation: OrganisationId) -> None:
        remaining = self.counts[organisation] - 1
        if remaining:
            self.counts[organisation] = remaining
            return
        del self.counts[organisation]
