"""
Requests of a route or organisation that is restricted to some regions are served only there.

"""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.ids import InstanceId, OrganisationId, RegionId, ServiceName, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millfork_routing.documents import Document, Organisation, Route, RouteKind
from millfork_routing.regions import regions_of_request, unknown_regions
from millfork_scheduling.placement import Requirements
from millfork_scheduling.server_table import ServerTable
from tests.test_forwarding import EndingVersion
from tests.test_servers import ENGINE, SERVICE, Clock, lease

REGIONS = {ZoneId('z1'): RegionId('north'), ZoneId('z2'): RegionId('south')}
NORTH = frozenset({RegionId('north')})
SOUTH = frozenset({RegionId('south')})


def route(regions=frozenset()):
    return Route('r', 'h', '/', RouteKind.SAFE, 1, 1, 1, (), 2, False, False, 0, regions)


def organisation(regions=frozenset()):
    return Organisation(OrganisationId('o'), (), None, regions)


@pytest.fixture
def table():
    new_table = ServerTable(ZoneId('z1'), Random(1), Clock())
    new_table.regions_by_zone = REGIONS
    return new_table


@pytest.mark.parametrize(
    ('of_route', 'of_organisation', 'expected'),
    [
        ((), (), None),
        (('a',), (), {'a'}),
        ((), ('a', 'b'), {'a', 'b'}),
        (('a', 'b'), ('b', 'c'), {'b'}),
        (('a',), ('b',), set()),
    ],
)
def test_both_restrictions_bind(of_route, of_organisation, expected):
    found = regions_of_request(route(frozenset(of_route)), organisation(frozenset(of_organisation)))
    assert found == expected


def test_a_request_without_organisation_has_the_restriction_of_its_route():
    assert regions_of_request(route(NORTH), None) == NORTH


def test_unknown_regions_of_a_document_are_found():
    document = Document(1, (route(NORTH),), (), (organisation(SOUTH),))
    assert unknown_regions(document, NORTH) == ['south']


def test_no_back_end_of_another_region_is_chosen_when_the_own_zone_has_one(table):
    """
    Guards against requests of a restricted route reaching the back end in the zone of the entry.

    """
    table.apply_leases([lease(1, 'z1'), lease(2, 'z2'), lease(3, 'unknown')])
    for engine in (None, ENGINE):
        requirements = Requirements(SERVICE, engine, regions=SOUTH)
        chosen = {table.choose(requirements, set()).server.instance for _ in range(30)}
        assert chosen == {'i-2'}
        assert table.choose(requirements, {InstanceId('i-2')}) is None


@given(
    zones=st.lists(st.sampled_from(['z1', 'z2', 'z3']), min_size=1, max_size=40),
    tried=st.sets(st.integers(0, 39)),
    seed=st.integers(0, 1000),
)
def test_every_choice_is_in_an_allowed_region(zones, tried, seed):
    """
    Guards against a way to choose (a sample, the freest engines, the choice from all back ends)
    that passes the regions over.

    """
    fleet = ServerTable(ZoneId('z1'), Random(seed), Clock())
    fleet.regions_by_zone = REGIONS
    fleet.apply_leases([lease(number, zone) for number, zone in enumerate(zones)])
    requirements = Requirements(SERVICE, ENGINE, regions=SOUTH)
    used = {InstanceId(f'i-{number}') for number in tried}
    candidates = fleet.sample_candidates(requirements, used)
    choices = [fleet.choose(requirements, used), fleet.choose(requirements, used, candidates)]
    found = [choice.server for choice in choices if choice is not None]
    found += candidates + fleet.freest_candidates(requirements, used)
    assert all(server.zone == 'z2' for server in found)


def test_a_path_through_another_region_is_not_used(table):
    """
    Guards against the second engine of a path being outside the allowed regions.

    """
    table.apply_leases([lease(1, 'z1', end=8), lease(2, 'z2', first=8)])
    unrestricted = Requirements(SERVICE, ENGINE)
    assert table.choose(unrestricted, set()).path is not None
    assert table.choose(replace(unrestricted, regions=NORTH), set()) is None
    assert table.choose(replace(unrestricted, regions=NORTH | SOUTH), set()).path is not None


@pytest.mark.parametrize(
    ('regions', 'expected'), [(SOUTH, Reason.OUT_OF_REGION), (NORTH, Reason.NO_ENDPOINT)]
)
def test_a_request_without_an_allowed_back_end_is_refused_with_a_reason_of_its_own(
    regions, expected
):
    scenario = EndingVersion()
    table = scenario.forwarding.server_table
    table.regions_by_zone = REGIONS
    table.apply_leases([lease(1, 'z1')])
    scenario.job.requirements = Requirements(ServiceName('s'), ENGINE, regions=regions)
    refusal = scenario.run()
    assert (refusal.reason, refusal.verdict) == (expected, Verdict.NOT_RUN)
    assert refusal.retry_after_ms > 0
