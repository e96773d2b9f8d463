"""
The soak's plans of evacuations and coldness, and its checks of them.

"""

from collections import Counter
from types import SimpleNamespace

import pytest

from millfork_standins.soak.checks import Period
from millfork_standins.soak.cold import KNOWN_AFTER_S, find_exceeded_coldness, plan_coldness
from millfork_standins.soak.evacuations import (
    EVACUATED_AFTER_S,
    ZONE_CHOICES,
    Evacuation,
    find_late_requests,
    plan_evacuations,
)


def test_a_seed_gives_the_same_evacuations_and_all_zones_occur():
    planned = [item for seed in range(20) for item in plan_evacuations(seed, 20)]
    assert {item.zones for item in planned} == set(ZONE_CHOICES)
    assert min(item.duration_s for item in planned) > EVACUATED_AFTER_S
    assert plan_evacuations(7, 20) == plan_evacuations(7, 20)


@pytest.mark.parametrize('seed', range(20))
def test_periods_of_coldness_of_a_back_end_do_not_overlap(seed):
    planned = plan_coldness(seed, 60, 3)
    assert planned == plan_coldness(seed, 60, 3)
    assert set(Counter(item.back_end for item in planned)) == {0, 1, 2}
    for number in range(3):
        own = [item for item in planned if item.back_end == number]
        assert all(
            later.at_s - earlier.at_s >= earlier.duration_s
            for earlier, later in zip(own, own[1:], strict=False)
        )


def late_requests(at=106.0, zone='z1', faults=(), link_faults=(), entries=(('1', 'e1'),)):
    """
    Check a request that arrives 6 s after the acknowledgement of the evacuation of `z1`, whose end
    is ordered after 8 s.

    """
    back_end = SimpleNamespace(instance='i-1', zone=zone, arrivals=[('1', at)])
    evacuation = Evacuation('z1', 100.0, 108.0)
    return find_late_requests(
        [evacuation], [back_end], dict(entries), list(faults), {'i-1': list(link_faults)}
    )


@pytest.mark.parametrize(
    'case',
    [
        {},
        {'at': 105.0},
        # A fault of another entry, of another process, or that ended more than 3 s ago.
        {'faults': [Period('e2', 104.0, 107.0)]},
        {'faults': [Period('r1', 104.0, 107.0)]},
        {'faults': [Period('e1', 101.0, 102.9)]},
        {'link_faults': [Period('1', 104.0, 105.4)]},
        {'entries': ()},
    ],
)
def test_a_request_to_an_evacuated_zone_is_found(case):
    assert len(late_requests(**case)) == 1


@pytest.mark.parametrize(
    'case',
    [
        {'at': 104.9},
        {'at': 108.1},
        {'zone': 'z2'},
        {'faults': [Period('e1', 101.0, 103.1)]},
        {'link_faults': [Period('1', 104.0, 105.6)]},
        {'entries': (), 'faults': [Period('e2', 104.0, 107.0)]},
    ],
)
def test_a_request_before_after_or_beside_an_evacuation_or_in_a_fault_is_none(case):
    assert late_requests(**case) == []


def exceeded_coldness(first_at=102.0, count=5, faults=(), link_faults=()):
    """
    Check `count` requests within a second to a back end that may get 4, and that is cold until 110
    s, which a replica acknowledged at 100 s.

    """
    arrivals = [(str(number), first_at + number / count) for number in range(count)]
    back_end = SimpleNamespace(
        instance='i-1', arrivals=arrivals, cold_acknowledged_at={110.0: 100.0}
    )
    return find_exceeded_coldness([back_end], 4, list(faults), {'i-1': list(link_faults)})


@pytest.mark.parametrize(
    'case',
    [
        {},
        {'first_at': 100.0 + KNOWN_AFTER_S},
        # Faults before the acknowledgement, and since all entries can know.
        {'faults': [Period('e1', 99.0, 100.0), Period('e1', 101.6, 109.0)]},
        {'faults': [Period('e1', 100.1, 100.2)]},
        {'link_faults': [Period('1', 100.0, 101.0)]},
    ],
)
def test_too_many_requests_to_a_cold_back_end_are_found(case):
    assert len(exceeded_coldness(**case)) == 1


@pytest.mark.parametrize(
    'case',
    [
        {'count': 4},
        {'first_at': 101.0},
        {'first_at': 110.1},
        {'faults': [Period('r1', 101.0, 105.0)]},
        {'faults': [Period('r1', 99.0, 100.2), Period('e1', 101.0, 101.1)]},
        {'link_faults': [Period('1', 100.0, 101.9)]},
    ],
)
def test_few_requests_or_those_that_no_entry_could_avoid_are_allowed(case):
    assert exceeded_coldness(**case) == []
