"""
Leave notices of back ends outlive a restart of all processes. Guards against requests at a back end
that has an acknowledgement of its leaving, because a delayed heartbeat brought it back.

"""

import time
from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Refusal, Refused
from millfork_platform import client_requests
from millfork_registry.records import Lease, LeaseState
from millfork_registry.registry import ENDED_RETENTION_S, Registry
from millfork_standins.http_calls import call
from millfork_standins.seeded import SeededFleet
from millfork_standins.seeded_ports import CONTROL_PORT
from millfork_state.keys import departure_key
from millfork_state.state_machine import StateMachine
from millfork_state.view import View
from millforkd.replica.departures import MAX_NOTICES, RETENTION_MS, Departures
from tests.test_incarnations import FIRST_INCARNATION, lease
from tests.test_platform_foreign_messages import ReplicaCalls
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import wait_until

HEARTBEAT_S = 1.0
LATER_INCARNATION = FIRST_INCARNATION + 1


class Replica:
    """
    The registry and the notices of one process of a replica, on the replicated state `view`.

    """

    def __init__(self, view, now_ms=lambda: 0):
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        self.machine = StateMachine(view)
        self.commands = []
        self.registry = Registry(env, HEARTBEAT_S)
        self.departures = Departures(
            env,
            view,
            self.registry,
            SimpleNamespace(wake=self.wake),
            SimpleNamespace(propose=self.propose),
            lambda: True,
            now_ms,
        )
        self.wakes = 0

    async def wake(self):
        self.wakes += 1

    async def propose(self, command, timeout_s):
        self.commands.append(command)
        self.machine.apply(command)

    def state_of(self, instance):
        found = self.registry.leases.get(instance)
        return found.state if found is not None else None


@pytest.fixture
def view():
    return View()


def test_a_delayed_heartbeat_after_a_restart_brings_no_back_end_back(view):
    async def run():
        await Replica(view).departures.record('i-1', FIRST_INCARNATION)
        restarted = Replica(view)
        await restarted.departures.apply()
        restarted.registry.record_heartbeat(lease(FIRST_INCARNATION, 5))
        assert restarted.state_of('i-1') is LeaseState.GONE
        # A back end that comes back under its id is used at once.
        restarted.registry.record_heartbeat(lease(LATER_INCARNATION, 1))
        assert restarted.state_of('i-1') is LeaseState.READY
        await restarted.departures.apply()
        assert restarted.state_of('i-1') is LeaseState.READY

    curio.run(run)


def test_a_heartbeat_before_the_log_is_applied_brings_no_back_end_back_for_long(view):
    async def run():
        earlier, restarted = Replica(view), Replica(view)
        restarted.registry.record_heartbeat(lease(FIRST_INCARNATION, 5))
        await earlier.departures.record('i-1', FIRST_INCARNATION)
        await restarted.departures.apply()
        assert restarted.state_of('i-1') is LeaseState.GONE
        assert restarted.wakes == 1

    curio.run(run)


def test_a_notice_of_an_unknown_incarnation_outlives_a_restart(view):
    async def run():
        await Replica(view).departures.record('i-1', 0)
        restarted = Replica(view)
        await restarted.departures.apply()
        restarted.registry.record_heartbeat(lease(0, 5))
        assert restarted.state_of('i-1') is LeaseState.GONE

    curio.run(run)


def test_a_repeated_notice_changes_nothing(view):
    async def run():
        replica = Replica(view)
        for _ in range(3):
            await replica.departures.record('i-1', LATER_INCARNATION)
        await replica.departures.record('i-1', FIRST_INCARNATION)
        assert len(replica.commands) == 1

    curio.run(run)


def test_notices_are_removed_once_no_heartbeat_can_be_delayed_so_long(view):
    async def run():
        now_ms = [1_000_000]
        replica = Replica(view, lambda: now_ms[0])
        for number in range(MAX_NOTICES + 2):
            await replica.departures.record(f'i-{number}', FIRST_INCARNATION)
            now_ms[0] += 1
        await replica.departures.apply()
        await replica.departures.remove_old()
        assert departure_key('i-1') not in view.items
        assert len(view.items) == MAX_NOTICES
        assert RETENTION_MS > ENDED_RETENTION_S * 1000
        now_ms[0] += RETENTION_MS
        await replica.departures.apply()
        await replica.departures.remove_old()
        assert not view.items

    curio.run(run)


def test_a_notice_that_is_not_committed_is_not_acknowledged():
    calls = ReplicaCalls()

    async def send_to_majority(item):
        return True

    async def refuse(instance, incarnation):
        raise Refused(Refusal(Reason.NO_QUORUM))

    calls.control.replica_links = SimpleNamespace(send_to_majority=send_to_majority)
    calls.control.departures = SimpleNamespace(record=refuse)
    assert calls.send(client_requests.leave_request('i-1')) == 503


def test_a_back_end_that_left_gets_no_requests_after_a_restart_of_all_processes(tmp_path):
    fleet = SeededFleet(tmp_path, entries=2)
    try:
        fleet.start()
        leaving, staying = (fleet.add_back_end('plain', f'i-{number}') for number in (1, 2))
        assert fleet.put_document(document(1, '/safe/')).status == 200
        for entry in (0, 1):
            wait_until(lambda entry=entry: serves(fleet, entry))
        wait_until(lambda: serves(fleet, 0) and leaving.executed)
        leaving.heartbeats_silent_until = time.monotonic() + 60
        wait_until(lambda: leaving.sequence)
        late = delayed_heartbeat(leaving)
        assert fleet.control(client_requests.leave_request('i-1')).status == 200
        fleet.restart_all()
        for host in fleet.replica_hosts:
            wait_until(lambda host=host: call(host, CONTROL_PORT, late).status == 200)
        for entry in (0, 1):
            wait_until(lambda entry=entry: serves(fleet, entry))
        since = time.monotonic()
        replies = fleet.send_load(lambda: request('/safe/x'), 20, 3.0)
        assert [reply.status for reply in replies] == [200] * len(replies)
        assert leaving.max_arrivals_within(3.0, since) == 0
        assert staying.max_arrivals_within(3.0, since) > 0
    finally:
        fleet.close()


def serves(fleet, entry):
    return fleet.send_request(request('/safe/x'), entry).status == 200


def delayed_heartbeat(back_end):
    host, port = back_end.server_address[:2]
    sent = Lease('i-1', 'plain', str(host), port, 'zone', 4, LeaseState.READY, back_end.sequence)
    return client_requests.heartbeat_request(sent)
