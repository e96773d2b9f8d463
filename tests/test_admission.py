"""
Admission: whether a request is sent to the back end that was chosen for it.

"""

from types import SimpleNamespace

import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_scheduling.placement import Choice, Requirements
from millfork_scheduling.retry_after import MIN_WAIT_MS
from millfork_scheduling.server import Server
from millfork_state.view import View
from millforkd.proxy.admission import Admission
from millforkd.versions import VersionTracker
from tests.test_servers import ENGINE

TARGET_MS = 400


def new_admission():
    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    return Admission(env, VersionTracker(env, View(), 8000))


def job_of(admission, elapsed_ms=0, engine=ENGINE):
    return SimpleNamespace(
        caller=SimpleNamespace(request_id='id'),
        requirements=Requirements(ServiceName('s'), engine),
        elapsed_ms=elapsed_ms,
        received_at=admission.env.monotonic(),
        route=SimpleNamespace(target_ms=TARGET_MS),
    )


def choice_of(admission, expected_ms, running):
    server = Server(InstanceId('i-1'), ServiceName('s'), '10.0.0.1', 80, ZoneId('z1'), 16)
    server.own_requests = server.own_at_report = server.reported = running
    server.reported_at = admission.env.monotonic()
    return Choice(server, expected_ms, expected_ms)


def retry_after_ms(expected_ms, elapsed_ms=0, engine=ENGINE, running=16):
    admission = new_admission()
    job = job_of(admission, elapsed_ms, engine)
    return admission.retry_after_ms(job, choice_of(admission, expected_ms, running))


@pytest.mark.parametrize(('expected_ms', 'admitted'), [(100, True), (290, True), (320, False)])
def test_a_first_try_is_sent_only_if_it_is_expected_in_time(expected_ms, admitted):
    assert (retry_after_ms(expected_ms) == 0) == admitted


@pytest.mark.parametrize(('elapsed_ms', 'admitted'), [(150, True), (300, False), (900, False)])
def test_a_retry_is_measured_from_its_first_try(elapsed_ms, admitted):
    assert (retry_after_ms(100, elapsed_ms) == 0) == admitted


@pytest.mark.parametrize(
    ('is_undecided', 'expected_ms', 'running', 'depends'),
    [
        (True, 100, 14, True),
        # The deadline of the request already shows whether the request is a first try.
        (False, 100, 14, False),
        # The answer changes nothing: the first request is sent in any case, the second is refused.
        (True, 100, 3, False),
        (True, 5000, 14, False),
    ],
)
def test_other_entries_are_queried_only_if_the_answer_decides(
    is_undecided, expected_ms, running, depends
):
    admission = new_admission()
    job = job_of(admission)
    job.needs_first_try_lookup = is_undecided
    assert (
        admission.depends_on_first_try(job, choice_of(admission, expected_ms, running)) == depends
    )


def test_a_refused_caller_is_given_a_minimum_wait():
    assert retry_after_ms(500) >= MIN_WAIT_MS


@pytest.mark.parametrize(('running', 'admitted'), [(3, True), (11, True), (12, False)])
def test_late_requests_get_only_spare_slots(running, admitted):
    assert (retry_after_ms(5000, running=running) == 0) == admitted
    assert (retry_after_ms(100, elapsed_ms=900, running=running) == 0) == admitted


def test_a_service_without_engines_admits_every_request():
    assert retry_after_ms(5000, engine=None) == 0
