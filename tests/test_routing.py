"""
Choice of an endpoint, fair queues, limits on requests in progress, and retry budgets.

"""

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.ids import InstanceId, OrganisationId, ZoneId
from millfork_core.verdicts import Reason, Refusal, Verdict
from millfork_routing.balance import Backend, BusyNotice, choose
from millfork_routing.limits import FairQueue, InFlightCounter
from millfork_routing.retries import RetryBudget, may_retry

OWN_ZONE, OTHER_ZONE = ZoneId('here'), ZoneId('there')
ONE, TWO = OrganisationId('one'), OrganisationId('two')


class Clock:
    """
    A clock that stands still until a test sets `now`.

    """

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def backend(name, zone=OWN_ZONE, own_requests=0, **fields):
    return Backend(InstanceId(name), zone, limit=4, own_requests=own_requests, **fields)


def pick(backends, organisation=ONE, affinity='', tried=(), now=1.0):
    found = choose(backends, OWN_ZONE, organisation, affinity, set(tried), now)
    return found.instance if found else None


def test_the_least_loaded_endpoint_of_the_own_zone_is_chosen():
    assert (
        pick([backend('a', own_requests=2), backend('b', own_requests=1), backend('c', OTHER_ZONE)])
        == 'b'
    )


def test_another_zone_is_used_once_the_own_zone_is_full():
    assert pick([backend('a', own_requests=4), backend('c', OTHER_ZONE, own_requests=3)]) == 'c'


def test_the_own_zone_is_used_if_all_zones_are_full():
    assert pick([backend('a', own_requests=4), backend('c', OTHER_ZONE, own_requests=6)]) == 'a'


def test_tried_leaving_and_avoided_endpoints_are_not_chosen():
    backends = [backend('a'), backend('b', leaving=True), backend('c', avoided_until=2.0)]
    assert pick(backends, tried=['a']) is None
    assert pick(backends, tried=['a'], now=3.0) == 'c'


def test_one_organisations_flood_does_not_close_an_endpoint_to_another():
    full = backend('a')
    full.busy[ONE] = BusyNotice(2.0, 500)
    assert pick([full], ONE) is None
    assert pick([full], TWO) == 'a'
    assert pick([full], ONE, now=3.0) == 'a'


def test_a_report_is_corrected_by_requests_sent_since():
    one = backend('a', own_requests=2)
    one.apply_report(3, 4)
    assert one.occupied == 3
    one.own_requests = 4
    assert one.occupied == 5
    one.own_requests = 0
    assert one.occupied == 1


def test_equal_prompts_go_to_one_endpoint_until_it_is_loaded():
    backends = [backend(str(number)) for number in range(6)]
    first = pick(backends, affinity='org/prompt')
    assert {pick(backends, affinity='org/prompt') for _ in range(5)} == {first}
    preferred = next(b for b in backends if b.instance == first)
    preferred.own_requests = 3
    assert pick(backends, affinity='org/prompt') != first


def queue(slots=2, waiting=4, shares=None, clock=None):
    return FairQueue(slots, waiting, lambda name: (shares or {}).get(name, 1), clock or Clock())


async def join(fair_queue, *organisations):
    return [await fair_queue.join(name, 1000.0) for name in organisations]


def granted(waiters):
    return [waiter.has_slot for waiter in waiters]


def test_a_flood_delays_only_its_own_organisation():
    async def run():
        fair_queue = queue()
        flood = await join(fair_queue, ONE, ONE, ONE, ONE, ONE)
        (small,) = await join(fair_queue, TWO)
        await fair_queue.leave(flood[0])
        await fair_queue.leave(flood[1])
        return granted(flood[2:]), small.has_slot

    flood, small = curio.run(run)
    assert small
    assert sum(flood) == 1


def test_slots_are_granted_by_share():
    async def run():
        fair_queue = queue(slots=1, waiting=100, shares={ONE: 3})
        (running,) = await join(fair_queue, TWO)
        ones = await join(fair_queue, *[ONE] * 9)
        twos = await join(fair_queue, *[TWO] * 9)
        for _ in range(8):
            await fair_queue.leave(running)
            running = next(w for w in ones + twos if w.has_slot)
        return len([w for w in ones if w.granted.is_set()])

    assert curio.run(run) == 6


def test_requests_that_would_wait_too_long_are_refused_at_once():
    async def run():
        fair_queue = queue(slots=1, waiting=100)
        fair_queue.service_time_s = 1.0
        await join(fair_queue, ONE, ONE, ONE)
        return fair_queue.refusal_wait_ms(ONE, 10.0), fair_queue.refusal_wait_ms(ONE, 2.0)

    wait_in_time_ms, wait_too_long_ms = curio.run(run)
    assert wait_in_time_ms == 0
    assert wait_too_long_ms == 3000


def test_queue_places_are_shared():
    async def run():
        fair_queue = queue(slots=1, waiting=4)
        await join(fair_queue, TWO, TWO, ONE, ONE, ONE)
        return fair_queue.refusal_wait_ms(ONE, 100.0), fair_queue.refusal_wait_ms(TWO, 100.0)

    flood, small = curio.run(run)
    assert flood > 0
    assert small == 0


@given(st.lists(st.tuples(st.sampled_from('abc'), st.booleans()), max_size=60))
def test_slots_are_never_exceeded_and_never_leak(steps):
    async def run():
        fair_queue = queue(slots=2, waiting=100)
        held = []
        for name, leaves in steps:
            if leaves and held:
                await fair_queue.leave(held.pop(0))
            else:
                held.append(await fair_queue.join(OrganisationId(name), 1000.0))
            assert fair_queue.running == sum(w.has_slot for w in held) <= 2
            assert fair_queue.waiting == sum(not w.has_slot for w in held)
            assert fair_queue.running == min(len(held), 2)
        for waiter in held:
            await fair_queue.leave(waiter)
        return fair_queue.running, fair_queue.waiting, dict(fair_queue.queues)

    assert curio.run(run) == (0, 0, {})


def test_concurrent_requests_of_one_organisation_at_an_entry_are_limited():
    count = InFlightCounter(1)
    assert count.try_acquire(ONE)
    assert not count.try_acquire(ONE)
    assert count.try_acquire(TWO)
    count.release(ONE)
    assert count.try_acquire(ONE)


@pytest.mark.parametrize(
    ('reason', 'verdict', 'repeatable', 'again'),
    [
        (Reason.BUSY, Verdict.NOT_RUN, False, True),
        (Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, False, False),
        (Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN, True, True),
        (Reason.NOT_FOUND, Verdict.NOT_RUN, True, False),
        (Reason.TOO_LARGE, Verdict.MAY_HAVE_RUN, True, False),
    ],
)
def test_retries_depend_on_verdict_and_reason(reason, verdict, repeatable, again):
    assert may_retry(Refusal(reason, verdict), repeatable) is again


def test_the_retry_budget_is_a_floor_and_a_share_of_requests():
    clock = Clock()
    budget = RetryBudget(0.1, 2, clock)
    for _ in range(30):
        budget.record_request(ONE, 'service')
    assert [budget.spend(ONE, 'service') for _ in range(6)] == [True] * 5 + [False]
    assert budget.spend(TWO, 'service')
    clock.now += 11
    assert budget.spend(ONE, 'service')
