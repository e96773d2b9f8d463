"""
Whether an entry considers a back end ended, live or unknown after one of its answers broke off.

"""

import pytest

from millfork_core.ids import Incarnation, InstanceId, ServiceName, ZoneId
from millfork_scheduling.incarnation_status import (
    LEASE_EXPIRED_S,
    READ_DELAY_S,
    REPORT_LAG_S,
    IncarnationStatus,
    determine_status,
)
from millfork_scheduling.server import Server

BROKE_AT = 100.0


def server(instance='i-1', incarnation=1):
    new_server = Server(InstanceId(instance), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16)
    new_server.incarnation = Incarnation(incarnation)
    return new_server


def test_the_status_is_unknown_at_first():
    broken = server()
    broken.answered = {None: BROKE_AT - 1}
    broken.last_received_at = BROKE_AT + READ_DELAY_S / 2
    broken.reported_at = BROKE_AT + REPORT_LAG_S / 2
    assert determine_status(broken, BROKE_AT, [broken]) is IncarnationStatus.UNKNOWN


@pytest.mark.parametrize('other', [server('i-2'), server(incarnation=2)])
def test_a_back_end_has_ended_once_another_instance_or_incarnation_replaces_it(other):
    other.last_received_at = BROKE_AT + 1
    assert determine_status(server(), BROKE_AT, [other]) is IncarnationStatus.ENDED


def test_a_back_end_has_ended_once_it_is_marked_replaced():
    broken = server()
    broken.replaced = True
    assert determine_status(broken, BROKE_AT) is IncarnationStatus.ENDED


@pytest.mark.parametrize(
    'evidence',
    [
        {'answered': {None: BROKE_AT + 0.01}},
        {'last_received_at': BROKE_AT + READ_DELAY_S * 2},
        {'reported_at': BROKE_AT + REPORT_LAG_S * 2},
    ],
)
@pytest.mark.parametrize('lease_ran_out_between', [False, True])
def test_a_back_end_lives_if_data_that_it_sent_later_was_received(evidence, lease_ran_out_between):
    broken = server()
    known = server() if lease_ran_out_between else broken
    for name, value in evidence.items():
        setattr(known, name, value)
    assert determine_status(broken, BROKE_AT, [known]) is IncarnationStatus.LIVES


def test_a_back_end_lives_if_its_lease_outlasts_the_usual_expiry():
    """
    Guards against an entry that sends a back end no further requests, and considers the back end
    ended though it is still running (seen 7.7 s after an answer broke off). A lease that is still
    held shows that the back end lives.

    """
    broken = server(incarnation=0)
    later = BROKE_AT + LEASE_EXPIRED_S
    assert determine_status(broken, BROKE_AT, [broken], later) is IncarnationStatus.UNKNOWN
    assert determine_status(broken, BROKE_AT, [broken], later + 0.1) is IncarnationStatus.LIVES
    assert determine_status(broken, BROKE_AT, [], later + 0.1) is IncarnationStatus.UNKNOWN


def test_reports_are_no_evidence_for_a_back_end_without_incarnation():
    broken = server(incarnation=0)
    broken.reported_at = BROKE_AT + REPORT_LAG_S * 2
    assert determine_status(broken, BROKE_AT) is IncarnationStatus.UNKNOWN
