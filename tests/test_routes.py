"""
Validation of configuration documents, and the look-up of routes.

"""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.ids import OrganisationId, ServiceName
from millfork_routing.documents import (
    Document,
    Organisation,
    Route,
    RouteKind,
    Service,
    Share,
    find_problems,
)
from millfork_routing.routes import RouteTable, pick_service, priority_of


def route(name='r', host='h', prefix='/', shares=(('s', 1),), **fields):
    parts = tuple(Share(ServiceName(service), weight) for service, weight in shares)
    kind = fields.pop('kind', RouteKind.SAFE)
    default_route = Route(name, host, prefix, kind, 1000, 300, 1, parts, 2, False, False, 0)
    return replace(default_route, **fields)


def document(*routes, organisations=()):
    services = (Service(ServiceName('s'), 8), Service(ServiceName('t'), 8))
    return Document(1, tuple(routes), services, tuple(organisations))


def organisation(name, *keys, priority=None):
    return Organisation(OrganisationId(name), keys, priority)


def test_a_valid_document_has_no_problems():
    assert find_problems(document(route(), organisations=[organisation('a', 'k')])) == []


@pytest.mark.parametrize(
    ('invalid_document', 'expected_text'),
    [
        (document(route(shares=(('x', 1),))), 'unknown service'),
        (document(route('a'), route('b')), 'host and prefix'),
        (document(route(shares=(('s', 0), ('t', 0)))), 'sum to 0'),
        (document(route(shares=(('s', 2), ('t', -1)))), 'negative'),
        (document(route(timeout_ms=0)), 'time-out'),
        (document(organisations=[organisation('a', 'k'), organisation('b', 'k')]), 'share a key'),
    ],
)
def test_invalid_documents_are_rejected_with_a_reason(invalid_document, expected_text):
    assert any(expected_text in problem for problem in find_problems(invalid_document))


@pytest.mark.parametrize(('organisations', 'needs_keys'), [(None, False), ((), True)])
def test_keys_are_needed_where_the_document_lists_organisations(organisations, needs_keys):
    assert RouteTable(Document(1, organisations=organisations)).needs_keys is needs_keys


def test_the_longest_prefix_of_the_host_wins():
    table = RouteTable(document(route('a', prefix='/a/'), route('b', prefix='/a/b/')))
    assert table.find('h', '/a/b/c').name == 'b'
    assert table.find('H:80', '/a/x').name == 'a'
    assert table.find('h', '/c') is None
    assert table.find('other', '/a/') is None


def test_organisations_are_found_by_key_and_determine_the_priority():
    first = organisation('a', 'k', 'l', priority=0)
    table = RouteTable(document(route(), organisations=[first]))
    assert table.organisation_of_key('l') is first
    assert table.organisation_of_key('m') is None
    assert priority_of(route(), first) == 0
    assert priority_of(route(), organisation('b')) == 1


def test_only_safe_routes_and_resumable_streams_are_repeatable():
    assert route(kind=RouteKind.SAFE).repeatable
    assert not route(kind=RouteKind.UNSAFE, resumable=True).repeatable
    assert not route(kind=RouteKind.STREAMING).repeatable
    assert route(kind=RouteKind.STREAMING, resumable=True).repeatable


@given(
    st.lists(st.integers(0, 5), min_size=2, max_size=2).filter(sum),
    st.floats(0, 1, exclude_max=True),
)
def test_a_service_of_weight_0_gets_nothing(weights, draw):
    split = route(shares=(('s', weights[0]), ('t', weights[1])))
    chosen = pick_service(split, draw)
    assert dict(zip(('s', 't'), weights, strict=True))[chosen] > 0
